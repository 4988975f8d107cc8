//! Percentiles of a set of figures.

/// The figure below which `percent` percent of the figures lie; `None` where there is no figure.
pub(crate) fn percentile(mut figures: Vec<f64>, percent: usize) -> Option<f64> {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() * percent / 100).copied()
}
