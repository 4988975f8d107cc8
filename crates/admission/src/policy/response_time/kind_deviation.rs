//! The slowness of an endpoint compared with others of its machine kind.
use crate::state::RelativeResponseTime;

/// Relative response time, as a multiple of its kind's, above which an endpoint is clearly slow and gets less
/// work. Smaller differences are ignored, because all gateways learn the same and would all send to the same
/// few endpoints.
const SLOW_ENDPOINT_RATIO: f64 = 1.6;

/// Lower limit of a kind's usual relative response time.
const MIN_KIND_BASELINE: f64 = 0.1;

/// Largest sample of a kind's relative response time, so that a few very slow endpoints do not make the whole
/// kind look slow.
const MAX_KIND_SAMPLE: f64 = 4.0;

/// An endpoint's relative response time compared with that of its machine kind.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct KindDeviation {
    /// Usual relative response time of the kind.
    pub baseline: f64,
    /// 1 up to `SLOW_ENDPOINT_RATIO` times the kind's usual response time, and above that in proportion to
    /// the endpoint's response time.
    pub slowness: f64,
}

/// Returns how far an endpoint's response time, as the fleet observes it, is above what is usual for its
/// kind. `learned_baseline` is the kind's usual relative response time as learned so far.
pub(crate) fn kind_deviation(
    learned_baseline: f64,
    response_time: &RelativeResponseTime,
    now_ms: f64,
) -> KindDeviation {
    let baseline = learned_baseline.max(MIN_KIND_BASELINE);
    let observed = response_time.observed_estimate(now_ms, baseline);
    KindDeviation { baseline, slowness: (observed / baseline / SLOW_ENDPOINT_RATIO).max(1.0) }
}

/// Returns the sample of a kind's relative response time that an observed response gives.
pub(crate) fn kind_sample(relative_response_time: f64) -> f64 {
    relative_response_time.min(MAX_KIND_SAMPLE)
}
