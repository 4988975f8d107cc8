//! Which endpoints are outliers, and how long an ejection lasts.
use crate::mechanism::backoff::{jitter_factor, BackoffLimits};

/// How long an endpoint is ejected after failures, in ms.
pub(crate) const EJECTION: BackoffLimits = BackoffLimits { base_ms: 400.0, max_ms: 6400.0 };

/// How long an endpoint is ejected for one class or plan, in ms.
pub(crate) const SCOPED_EJECTION: BackoffLimits = BackoffLimits { base_ms: 1000.0, max_ms: 6400.0 };

/// Width of the range of random factors on the length of an ejection, around 1. Without it all
/// gateways would return to an endpoint at once.
const EJECTION_JITTER: f64 = 0.5;

/// Stall ratio above which an endpoint is an outlier.
const OUTLIER_STALL_RATIO: f64 = 1.0;

/// What shows that an endpoint is faulty.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OutlierInput {
    /// The list no longer has it, though it has attempts in flight.
    pub is_gone: bool,
    /// It is ejected after failures.
    pub is_ejected: bool,
    /// Time without a response, in multiples of a stall.
    pub stall_ratio: f64,
}

/// Whether an endpoint is an outlier, whatever the cause: a stopped process, a hung machine, a broken link.
pub(crate) fn is_outlier(symptoms: &OutlierInput) -> bool {
    symptoms.is_gone || symptoms.is_ejected || symptoms.stall_ratio > OUTLIER_STALL_RATIO
}

/// Factor on the length of an ejection, by a draw from 0 to 1.
pub(crate) fn ejection_jitter(draw: f64) -> f64 {
    jitter_factor(EJECTION_JITTER, draw)
}
