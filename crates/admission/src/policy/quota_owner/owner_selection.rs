//! Which gateway is sent the quota requests of a customer, and when a gateway is suspected to be down.
use crate::id::GatewayIndex;
use crate::state::RankedGateway;

/// A gateway is suspected to be down after this many missed responses in a row.
const SUSPECT_MISSED_RESPONSES: u32 = 2;

/// A suspected gateway is sent no quota requests for this time, in ms.
const SUSPECT_MS: f64 = 2500.0;

/// The owner of a customer's quota: the first gateway of the ranking that is not suspected. Every gateway
/// computes the same ranking, so that they agree on the owner without a message as long as they suspect the
/// same gateways. `this_gateway` decides itself where all others are suspected.
pub(crate) fn select_owner(
    ranking: impl Iterator<Item = RankedGateway>,
    is_suspected: impl Fn(GatewayIndex) -> bool,
    this_gateway: GatewayIndex,
) -> GatewayIndex {
    let reachable = ranking.filter(|ranked| !is_suspected(ranked.gateway));
    reachable.min().map_or(this_gateway, |ranked| ranked.gateway)
}

/// Until when a gateway is suspected that has missed this many responses in a row; `None` where it is not.
///
/// Guards against an owner that crashed or hangs: without it each request of its customers would wait for the
/// response time-out. One missed response may be a lost datagram, so it is not enough.
pub(crate) fn suspected_until_ms(missed_responses: u32, now_ms: f64) -> Option<f64> {
    (missed_responses >= SUSPECT_MISSED_RESPONSES).then_some(now_ms + SUSPECT_MS)
}
