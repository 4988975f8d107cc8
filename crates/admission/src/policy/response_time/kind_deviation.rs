//! How slow an endpoint is for its machine kind.
use crate::state::RelativeResponseTime;

/// Relative response time, over that of its kind, above which an endpoint gets less work. Small differences
/// are ignored, because all gateways learn the same and would all send to the same few endpoints.
const CLEARLY_SLOW: f64 = 1.6;

/// Least relative response time that counts as usual of a kind.
const MIN_KIND_BASELINE: f64 = 0.1;

/// Largest relative response time that is learned as a sample of a kind, so that a few very slow endpoints do
/// not make the whole kind look slow.
const MAX_KIND_SAMPLE: f64 = 4.0;

/// An endpoint's relative response time beside that of its machine kind.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct KindDeviation {
    /// Usual relative response time of the kind.
    pub baseline: f64,
    /// The endpoint's relative response time over that of a clearly slow endpoint of the kind; at least 1.
    pub slowness: f64,
}

/// How far an endpoint's response time, as the fleet observes it, is above what is usual of its kind.
pub(crate) fn kind_deviation(
    learned_baseline: f64,
    response_time: &RelativeResponseTime,
    now_ms: f64,
) -> KindDeviation {
    let baseline = learned_baseline.max(MIN_KIND_BASELINE);
    let observed = response_time.observed_estimate(now_ms, baseline);
    KindDeviation { baseline, slowness: (observed / baseline / CLEARLY_SLOW).max(1.0) }
}

/// The sample of a kind's relative response time that an observed response gives.
pub(crate) fn kind_sample(relative_response_time: f64) -> f64 {
    relative_response_time.min(MAX_KIND_SAMPLE)
}
