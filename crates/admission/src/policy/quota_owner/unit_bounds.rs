//! Bounds on the units that a quota message from another gateway may consume or give back.
//!
//! They guard against a corrupt message, which could otherwise empty a customer's quota, or fill it although
//! nothing was consumed before.

/// Units that a message may always carry, even if the settings allow a request fewer.
const MIN_BOUND_UNITS: f64 = 1.0;

/// Returns the units of a quota request, limited to the most that the settings let one request consume.
pub(crate) fn bounded_request_units(units: f64, max_request_units: f64) -> f64 {
    units.min(bound_units(max_request_units))
}

/// Returns the additional units of a release, limited to the most that one request may consume. Below 0, they
/// are given back.
pub(crate) fn bounded_release_units(units: f64, max_request_units: f64) -> f64 {
    let bound = bound_units(max_request_units);
    units.clamp(-bound, bound)
}

/// Returns the bound that follows from the settings.
fn bound_units(max_request_units: f64) -> f64 {
    max_request_units.max(MIN_BOUND_UNITS)
}
