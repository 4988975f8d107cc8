//! Large fleets: when an endpoint is ejected for one class.

/// Weight of each observation in the failed fraction of a class at an endpoint.
pub(crate) const CLASS_FAILURE_GAIN: f64 = 0.3;

/// Failed fraction of a class above which an endpoint is ejected for it.
const MAX_CLASS_FAILURE_FRACTION: f64 = 0.5;

/// Whether an endpoint fails so many requests of a class, as the fleet observes, that it is ejected for it.
pub(crate) fn fails_class(failed_fraction: f64) -> bool {
    failed_fraction > MAX_CLASS_FAILURE_FRACTION
}
