//! Percentiles of a set of values.

/// Returns the value below which `percent` percent of the values lie; `None` if there are no values.
/// `percent` must be below 100.
pub(crate) fn percentile(mut values: Vec<f64>, percent: usize) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() * percent / 100).copied()
}
