//! Decides whether a customer's quota is ample, so that small errors in its count do not matter.

/// Fraction of the burst above which the quota is ample.
const AMPLE_FRACTION: f64 = 0.5;

/// Returns whether a quota with this many tokens is ample. If it is, requests' true units need not be
/// reported.
pub(crate) fn is_ample(tokens: f64, burst_units: f64) -> bool {
    tokens > AMPLE_FRACTION * burst_units
}
