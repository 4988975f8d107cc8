//! Whether a failure has a common cause outside the endpoints.

/// Fraction of the endpoints that must be healthy for an outlier to be at fault itself.
const MIN_HEALTHY_FRACTION: f64 = 0.25;

/// Whether so few endpoints are healthy that the cause is not theirs. None is left out then: ejecting most of
/// a fleet would overload the rest.
pub(crate) fn is_correlated_failure(healthy: usize, endpoints: usize) -> bool {
    (healthy as f64) < MIN_HEALTHY_FRACTION * endpoints as f64
}
