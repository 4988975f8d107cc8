//! Percentiles of a set of figures.

/// The figure that `percent` of 100 of the figures lie under; `None` where there is none.
pub(crate) fn percentile(mut figures: Vec<f64>, percent: usize) -> Option<f64> {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() * percent / 100).copied()
}
