//! The position of the fleet's attempts in flight relative to the band's bounds, in broadcast mode.
use crate::state::{BandPosition, BroadcastBand};

/// Distance of the bounds from the band's middle, as a fraction of the middle: `percentageDeviationForBounds`
/// of the published design that the queue follows, "Inference Gateway Queuing System Design".
const BAND_DEVIATION: f64 = 0.1;

/// Fraction of the band's middle above which the endpoints count as loaded, in both modes. It is below the
/// bounds.
pub(crate) const LOADED_FILL: f64 = 0.5;

/// Returns the position of the fleet's attempts in flight in broadcast mode. A gateway with fewer attempts in
/// flight than an equal share of the lower bound, one gateway's part, is always positioned under both bounds:
/// otherwise peers with a higher watermark could keep it from sending at all.
pub(crate) fn position_in_broadcast_mode(band: &BroadcastBand) -> BandPosition {
    let lower = band.middle * (1.0 - BAND_DEVIATION);
    let upper = band.middle * (1.0 + BAND_DEVIATION);
    let is_below_equal_share = band.own_in_flight < lower / band.gateways;
    if is_below_equal_share || band.in_flight < lower {
        BandPosition::BelowLowerBound
    } else if band.in_flight < upper {
        BandPosition::BetweenBounds
    } else {
        BandPosition::AtOrAboveUpperBound
    }
}

/// Returns whether the endpoints are loaded, that is, whether the fleet's attempts in flight exceed half of
/// the band's middle, in broadcast mode.
pub(crate) fn is_loaded_in_broadcast_mode(band: &BroadcastBand) -> bool {
    band.in_flight > LOADED_FILL * band.middle
}
