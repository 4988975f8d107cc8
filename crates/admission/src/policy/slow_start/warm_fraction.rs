//! The fraction of its full capacity that an endpoint has at its age, and the fraction of that which is used.

/// Fraction of a warming endpoint's capacity that is used in broadcast mode. The rest is a margin, because
/// requests differ in size and endpoints of a machine kind differ in speed.
pub(crate) const BROADCAST_WARM_UP_FRACTION: f64 = 0.6;

/// Fraction of a warming endpoint's capacity that is used in a large fleet, where endpoints are drawn by
/// weight. The rest is a margin for the same reasons.
pub(crate) const LARGE_FLEET_WARM_UP_FRACTION: f64 = 0.5;

/// Returns a lower bound of an endpoint's capacity, as a fraction of its full capacity. The fraction rises
/// linearly from `initial_fraction`, when its process starts, to 1 after `warm_up_ms`. `age_ms` is `None` if
/// the process started long ago.
pub(crate) fn warm_fraction(age_ms: Option<f64>, warm_up_ms: f64, initial_fraction: f64) -> f64 {
    let Some(age_ms) = age_ms.filter(|_| warm_up_ms > 0.0) else { return 1.0 };
    let progress = (age_ms / warm_up_ms).clamp(0.0, 1.0);
    initial_fraction + (1.0 - initial_fraction) * progress
}

/// Returns whether an endpoint does not have its full capacity yet, by the lower bound of its capacity. If
/// endpoints start at full capacity, this is never so, even before the end of the warm-up time.
pub(crate) fn is_warming_up(warm_fraction: f64) -> bool {
    warm_fraction < 1.0
}

/// Returns whether an endpoint's process is at least as old as the warm-up time, so that its response times
/// are typical.
pub(crate) fn is_past_warm_up(age_ms: Option<f64>, warm_up_ms: f64) -> bool {
    age_ms.is_none_or(|age_ms| age_ms >= warm_up_ms)
}

/// Returns the work that all gateways together may send an endpoint in broadcast mode, as a fraction of a
/// warm endpoint's.
pub(crate) fn send_fraction_in_broadcast_mode(warm_fraction: f64) -> f64 {
    if is_warming_up(warm_fraction) {
        BROADCAST_WARM_UP_FRACTION * warm_fraction
    } else {
        1.0
    }
}

/// Returns the work that all gateways of a large fleet together may send an endpoint, as a fraction of a warm
/// endpoint's.
pub(crate) fn send_fraction_in_large_fleet(warm_fraction: f64) -> f64 {
    if is_warming_up(warm_fraction) {
        LARGE_FLEET_WARM_UP_FRACTION * warm_fraction
    } else {
        1.0
    }
}
