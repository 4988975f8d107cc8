//! Exponential smoothing, and decay by half-life.

/// Moves `mean` towards `sample` by the fraction `gain` of the distance.
pub(crate) fn smooth(mean: &mut f64, sample: f64, gain: f64) {
    *mean += gain * (sample - *mean);
}

/// Returns what `value` becomes after `elapsed_ms` if its difference from `target` halves every
/// `half_life_ms`.
pub(crate) fn decay_towards(target: f64, value: f64, elapsed_ms: f64, half_life_ms: f64) -> f64 {
    target + (value - target) * 0.5f64.powf(elapsed_ms.max(0.0) / half_life_ms)
}
