//! The fraction of a customer's hard ceiling that a gateway may spend. The fractions of all gateways add up
//! to 1 at most, so that the ceiling holds even while gateways cannot reach each other.

/// Fraction of a hard ceiling that the quota owner may spend. The next gateway in the ranking, which takes
/// over when the owner does not respond, may spend the rest.
const OWNER_CEILING_FRACTION: f64 = 0.6;

/// Returns the fraction that a gateway may spend in gossip mode, where only the owner and its successor
/// decide on quota requests. `gateways` is the number of gateways that the customer's requests come through,
/// and `ranking_position` is this gateway's position among them, with 0 for the owner.
pub(crate) fn ceiling_fraction_by_ranking(gateways: usize, ranking_position: usize) -> f64 {
    if gateways == 1 {
        return 1.0;
    }
    match ranking_position {
        0 => OWNER_CEILING_FRACTION,
        1 => 1.0 - OWNER_CEILING_FRACTION,
        _ => 0.0,
    }
}

/// Returns the fraction that a gateway may spend in the other modes, where each gateway decides on the
/// requests that it receives from clients. `gateways` is the number of gateways that the customer's requests
/// come through.
pub(crate) fn even_ceiling_fraction(gateways: usize) -> f64 {
    1.0 / gateways as f64
}
