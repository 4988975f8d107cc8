//! Broadcast mode: units of a hard ceiling that one gateway transfers to another.
use crate::messages::counts_message::QUARTERS_PER_UNIT;

/// Fraction of the spare units of a ceiling that a peer gets on its request.
const CEILING_TRANSFER_FRACTION: f64 = 0.5;

/// Units to transfer to a peer that requests some, of a ceiling with these tokens here, in quarters as
/// messages carry them. What one request at this gateway may need stays here.
pub(crate) fn ceiling_transfer_units(ceiling_tokens: f64, max_request_units: f64) -> f64 {
    let spare_units = (ceiling_tokens - max_request_units).max(0.0);
    (spare_units * CEILING_TRANSFER_FRACTION * QUARTERS_PER_UNIT).floor() / QUARTERS_PER_UNIT
}

/// The most units of a ceiling that a gateway may have after a transfer: its even fraction of the burst.
/// Together the gateways must not have more than the ceiling's burst.
pub(crate) fn max_ceiling_units(ceiling_burst_units: f64, gateways: usize) -> f64 {
    ceiling_burst_units / gateways as f64
}
