//! Bounds on the units that a quota message of another gateway may take or give back.
//!
//! They guard against a corrupt message, which could otherwise empty a customer's quota or fill it for
//! nothing.

/// Units that a request may count at least, whatever the settings allow at most.
const MIN_BOUND_UNITS: f64 = 1.0;

/// The units of a quota request, at most what the settings let one request count.
pub(crate) fn bounded_request_units(units: f64, max_request_units: f64) -> f64 {
    units.min(bound_units(max_request_units))
}

/// The units that a release takes beyond the grant, or gives back below 0, within what one request may count.
pub(crate) fn bounded_release_units(units: f64, max_request_units: f64) -> f64 {
    let bound = bound_units(max_request_units);
    units.clamp(-bound, bound)
}

/// The bound that follows from the settings.
fn bound_units(max_request_units: f64) -> f64 {
    max_request_units.max(MIN_BOUND_UNITS)
}
