//! Large fleets: when an endpoint is ejected for one class.

/// Weight of a new observation in the smoothed fraction of a class's attempts that fail or are slow at an
/// endpoint.
pub(crate) const CLASS_FAILURE_GAIN: f64 = 0.3;

/// Fraction of failed or slow attempts of a class above which an endpoint is ejected for this class.
const MAX_CLASS_FAILURE_FRACTION: f64 = 0.5;

/// Returns whether an endpoint is to be ejected for a class, because the observed fraction of this class's
/// attempts that fail or are slow there is too high.
pub(crate) fn is_class_ejection_due(failed_fraction: f64) -> bool {
    failed_fraction > MAX_CLASS_FAILURE_FRACTION
}
