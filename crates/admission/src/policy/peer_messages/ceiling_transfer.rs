//! Broadcast mode: transfer of a hard ceiling's units from one gateway to another.
use crate::messages::counts_message::QUARTERS_PER_UNIT;

/// Fraction of a ceiling's spare units that a peer gets when it requests some.
const CEILING_TRANSFER_FRACTION: f64 = 0.5;

/// Returns the units to transfer to a peer that requests some. `ceiling_tokens` is what this gateway has of
/// the ceiling; it keeps `max_request_units`, the most that one request may consume. The result is rounded
/// down to quarters of a unit, in which messages carry units.
pub(crate) fn ceiling_transfer_units(ceiling_tokens: f64, max_request_units: f64) -> f64 {
    let spare_units = (ceiling_tokens - max_request_units).max(0.0);
    (spare_units * CEILING_TRANSFER_FRACTION * QUARTERS_PER_UNIT).floor() / QUARTERS_PER_UNIT
}

/// Returns the most units of a ceiling that a gateway may have after it received a transfer: an equal share
/// of the burst, because all gateways together must not have more than the burst. `gateways` is the number of
/// gateways that the customer's requests come through.
pub(crate) fn max_ceiling_units(ceiling_burst_units: f64, gateways: usize) -> f64 {
    ceiling_burst_units / gateways as f64
}
