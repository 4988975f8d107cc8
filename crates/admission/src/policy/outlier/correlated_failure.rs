//! Detects failures that have a common cause outside the endpoints.

/// Fraction of healthy endpoints below which failures are taken to have a common cause outside the endpoints.
const MIN_HEALTHY_FRACTION: f64 = 0.25;

/// Returns whether so few endpoints are healthy that the cause must lie outside them. No endpoint is then
/// left out as an outlier, because leaving more than three quarters of them out would overload the rest.
pub(crate) fn is_correlated_failure(healthy: usize, endpoints: usize) -> bool {
    (healthy as f64) < MIN_HEALTHY_FRACTION * endpoints as f64
}
