//! The definition of an outlier, and the length and jitter of ejections. Whether the end of an attempt ejects
//! its endpoint is decided in `ejection_decision`.
use crate::mechanism::backoff::{jitter_factor, BackoffLimits};

/// Length of an ejection after failures.
pub(crate) const EJECTION: BackoffLimits = BackoffLimits { base_ms: 400.0, max_ms: 6400.0 };

/// Length of an ejection for one class or plan.
pub(crate) const SCOPED_EJECTION: BackoffLimits = BackoffLimits { base_ms: 1000.0, max_ms: 6400.0 };

/// Width of the range, around 1, of the random factor on the length of an ejection. Without jitter all
/// gateways would return to an endpoint at the same time.
const EJECTION_JITTER: f64 = 0.5;

/// Stall ratio above which an endpoint is an outlier.
const OUTLIER_STALL_RATIO: f64 = 1.0;

/// Inputs of the decision whether an endpoint is an outlier.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OutlierInput {
    /// The endpoint is no longer listed, but has attempts in flight.
    pub is_gone: bool,
    /// The endpoint is ejected after failures or paused after an overload.
    pub is_ejected: bool,
    /// Time without a response, as a multiple of the time that counts as a stall.
    pub stall_ratio: f64,
}

/// Returns whether an endpoint is an outlier, whatever the cause: a stopped process, a hung machine or a
/// broken link.
pub(crate) fn is_outlier(input: &OutlierInput) -> bool {
    input.is_gone || input.is_ejected || input.stall_ratio > OUTLIER_STALL_RATIO
}

/// Returns the random factor on the length of an ejection. `draw` is a random number from 0 to 1.
pub(crate) fn ejection_jitter(draw: f64) -> f64 {
    jitter_factor(EJECTION_JITTER, draw)
}
