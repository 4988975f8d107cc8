//! When a customer's quota is ample, so that small errors in what it consumed do not matter.

/// Fraction of the burst above which the quota is ample.
const AMPLE_FRACTION: f64 = 0.5;

/// Whether a quota with these tokens is ample: the true units of its requests need not be reported.
pub(crate) fn is_ample(tokens: f64, burst_units: f64) -> bool {
    tokens > AMPLE_FRACTION * burst_units
}
