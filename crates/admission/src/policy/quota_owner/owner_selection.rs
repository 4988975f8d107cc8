//! Selects the gateway that is sent a customer's quota requests, and decides when a gateway is suspected to
//! be down.
use crate::id::GatewayIndex;
use crate::state::RankedGateway;

/// Number of consecutive missed responses after which a gateway is suspected to be down.
const SUSPECT_MISSED_RESPONSES: u32 = 2;

/// Time, in ms, for which a suspected gateway is sent no quota requests.
const SUSPECT_MS: f64 = 2500.0;

/// Returns the owner of a customer's quota: the gateway with the lowest rank that is not suspected, or
/// `this_gateway` if all gateways of the ranking are suspected.
///
/// Every gateway computes the same ranking, so gateways that suspect the same gateways agree on the owner
/// without a message.
pub(crate) fn select_owner(
    ranking: impl Iterator<Item = RankedGateway>,
    is_suspected: impl Fn(GatewayIndex) -> bool,
    this_gateway: GatewayIndex,
) -> GatewayIndex {
    let reachable = ranking.filter(|ranked| !is_suspected(ranked.gateway));
    reachable.min().map_or(this_gateway, |ranked| ranked.gateway)
}

/// Returns until when a gateway is suspected that has missed this many consecutive responses, or `None` if it
/// isn't suspected.
///
/// Guards against an owner that crashed or hangs: each request of its customers would otherwise wait for the
/// response time-out. One missed response is not enough, because it may be a lost datagram.
pub(crate) fn suspected_until_ms(missed_responses: u32, now_ms: f64) -> Option<f64> {
    (missed_responses >= SUSPECT_MISSED_RESPONSES).then_some(now_ms + SUSPECT_MS)
}
