//! Exponential back-off.

/// The delay after `failures` earlier failures in a row: `base_ms`, doubled by each, at most `max_ms`.
pub(crate) fn exponential_backoff_ms(base_ms: f64, max_ms: f64, failures: u32) -> f64 {
    (base_ms * f64::from(1u32 << failures.min(31))).min(max_ms)
}
