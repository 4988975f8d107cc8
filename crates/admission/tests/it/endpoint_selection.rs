//! Which endpoint a request goes to: spread without observations, and the weight of the gateway's zone.
use crate::common::*;
use irishinge_admission::*;

/// Each of 200 gateways submits one request of a customer of its own; their sends must be spread over 40 endpoints.
fn assert_first_sends_are_spread(mut fleet: Fleet) {
    for me in 0..200 {
        fleet.submit(me, |r| r.customer = CustomerId(me as u64 + (9 << 40)));
    }
    fleet.advance(400.0);
    let count = fleet.sent_by_endpoint();
    assert_eq!(fleet.sent.len(), 200);
    assert!(count.len() > 35 && count.values().all(|n| *n < 20), "{count:?}");
}

/// All gateways of a fleet have just started and observed nothing yet. If each chose the best endpoint by the
/// same order, they would all choose the same few and overload them. Their first sends are spread over nearly
/// all endpoints, and no endpoint gets a tenth of them.
#[test]
fn gossip_gateways_without_observations_spread_their_first_sends() {
    let settings = fleet_settings(200, plan(10.0, 400.0));
    assert_first_sends_are_spread(Fleet::new(settings, warm_endpoints(40)));
}

/// The same where gateways may not send each other messages, with the quota counter and without: there they
/// would not even learn from each other that the few endpoints are overloaded.
#[test]
fn gateways_without_messages_spread_their_first_sends() {
    for counter_allowed in [false, true] {
        let settings = Settings {
            peer_messages_allowed: false,
            counter_allowed,
            ..fleet_settings(200, plan(10.0, 400.0))
        };
        assert_first_sends_are_spread(Fleet::new(settings, warm_endpoints(40)));
    }
}

/// How the sends of 60 gateways of three zones were spread over 30 endpoints of the same.
struct ZoneSpread {
    /// The fraction of sends that stayed in the zone of their gateway.
    local_fraction: f64,
    /// Sends for each warm endpoint, by zone.
    per_warm_endpoint: Vec<f64>,
    per_warming_endpoint: f64,
}

/// Measures the spread with so many of the first zone's ten endpoints warming up.
fn zone_spread(warming: u64) -> ZoneSpread {
    let zone = |endpoint: u64| (endpoint % 3) as usize;
    let is_warming = |endpoint: u64| endpoint % 3 == 0 && endpoint / 3 < warming;
    let entry = |id| EndpointEntry {
        zone: ZoneIndex(zone(id)),
        started_at_ms: is_warming(id).then_some(0.0),
        ..endpoint(id)
    };
    let mut fleet = Fleet::new(fleet_settings(60, plan(50.0, 400.0)), (0..30).map(entry).collect());
    for me in 0..60 {
        let settings =
            Settings { this_gateway: GatewayIndex(me), zone: ZoneIndex(me % 3), ..fleet.settings.clone() };
        fleet.start_gateway_with(settings, 5 + me as u64);
    }
    let mut local = 0;
    for step in 0..1500usize {
        let me = step * 37 % 60;
        let before = fleet.sent.len();
        fleet.submit(me, |r| {
            (r.customer, r.gateway_count, r.first_gateway) =
                (CustomerId(me as u64 + (5 << 40)), 1, GatewayIndex(me));
        });
        local += fleet.sent[before..].iter().filter(|s| zone(s.endpoint.0) == me % 3).count();
        fleet.advance(2.0);
    }
    let sent =
        |wanted: &dyn Fn(u64) -> bool| fleet.sent.iter().filter(|s| wanted(s.endpoint.0)).count() as f64;
    let per_warm =
        |z: usize| sent(&|s| zone(s) == z && !is_warming(s)) / if z == 0 { 10 - warming } else { 10 } as f64;
    ZoneSpread {
        local_fraction: local as f64 / 1500.0,
        per_warm_endpoint: (0..3).map(per_warm).collect(),
        per_warming_endpoint: sent(&is_warming) / warming.max(1) as f64,
    }
}

/// A gateway of a large fleet that sends to all zones alike seldom finds an open connection to an endpoint,
/// and pays for new ones. One that sends only to its own zone overloads it when most of the zone's endpoints
/// are warming up. While all are warm, more than four fifths of the sends are local and all endpoints get
/// about as much. With eight of ten local endpoints warming up, many sends go to other zones, and the two
/// warm local endpoints are not overloaded.
#[test]
fn prefers_the_local_zone_as_far_as_its_endpoints_have_capacity() {
    let spread = zone_spread(0);
    let (local, warm) = (spread.local_fraction, spread.per_warm_endpoint);
    assert!(local > 0.8, "{local} in the local zone, where each has as much capacity");
    assert!(warm.iter().all(|n| (30.0..75.0).contains(n)), "{warm:?} sends to an endpoint by zone");
    // Eight of ten of a zone's endpoints have just started: most of the work of its gateways goes elsewhere.
    let spread = zone_spread(8);
    let (local, warm, warming) =
        (spread.local_fraction, spread.per_warm_endpoint, spread.per_warming_endpoint);
    assert!(local < 0.8 && local > 0.4, "{local}");
    assert!(warming < 0.4 * warm[1], "{warming} to a warming one, {warm:?} to a warm one by zone");
    assert!(warm[0] < 1.7 * warm[1], "{warm:?} sends to a warm endpoint by zone");
}
