//! Which fraction of a customer's hard ceiling a gateway may spend. The fractions of all gateways add up to 1
//! at most, so that the ceiling holds even while gateways cannot reach each other.

/// Fraction of a ceiling that the owner of the customer's quota has. The next gateway in the ranking, which
/// takes over when the owner does not respond, has the rest.
const OWNER_CEILING_FRACTION: f64 = 0.6;

/// The fraction of a gateway in gossip mode, where only the owner and its successor decide on quota requests.
/// `gateways` is the number of gateways that the customer's requests come through, `ranking_position` this
/// gateway's position among them, 0 for the owner.
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

/// The fraction of a gateway in the other modes, where each gateway decides on its own requests.
pub(crate) fn even_ceiling_fraction(gateways: usize) -> f64 {
    1.0 / gateways as f64
}
