//! The selection of endpoints: without observations attempts are spread, and endpoints of the gateway's
//! zone are preferred.
use crate::common::*;
use irishinge_admission::*;

/// Submits one request of a different customer at each of 200 gateways, and asserts that their attempts
/// are spread over 40 endpoints.
fn assert_first_attempts_are_spread(mut fleet: Fleet) {
    for gateway in 0..200 {
        fleet.submit(gateway, |r| r.customer = CustomerId(gateway as u64 + (9 << 40)));
    }
    fleet.advance(400.0);
    let attempts = fleet.sent_by_endpoint();
    assert_eq!(fleet.sent.len(), 200);
    assert!(attempts.len() > 35 && attempts.values().all(|n| *n < 20), "{attempts:?}");
}

/// All gateways of a fleet have just started and have no observations. If they all ranked the endpoints
/// alike, they would choose the same few and overload them. Their first attempts are spread over nearly
/// all endpoints, and no endpoint gets a tenth of them.
#[test]
fn gossip_gateways_without_observations_spread_their_first_attempts() {
    let settings = fleet_settings(200, plan(10.0, 400.0));
    assert_first_attempts_are_spread(Fleet::new(settings, warm_endpoints(40)));
}

/// In isolated mode and in counter mode, gateways may not send each other messages. They spread their first
/// attempts too. They would not even learn from each other that a few endpoints are overloaded.
#[test]
fn gateways_without_messages_spread_their_first_attempts() {
    for counter_allowed in [false, true] {
        let settings = Settings {
            peer_messages_allowed: false,
            counter_allowed,
            ..fleet_settings(200, plan(10.0, 400.0))
        };
        assert_first_attempts_are_spread(Fleet::new(settings, warm_endpoints(40)));
    }
}

/// The spread of the attempts of 60 gateways in three zones over 30 endpoints in the same zones.
struct ZoneSpread {
    /// Attempts that were sent at once to an endpoint in the zone of their gateway, as a fraction of the
    /// requests at the gateways of all three zones.
    local_fraction: f64,
    /// Attempts per warm endpoint, by zone.
    per_warm_endpoint: Vec<f64>,
    /// Attempts per endpoint that is warming up.
    per_warming_endpoint: f64,
}

/// Measures the spread while this many of the first zone's ten endpoints are warming up.
fn zone_spread(warming: u64) -> ZoneSpread {
    let zone = |endpoint: u64| (endpoint % 3) as usize;
    let is_warming = |endpoint: u64| endpoint % 3 == 0 && endpoint / 3 < warming;
    let entry = |id| EndpointEntry {
        zone: ZoneIndex(zone(id)),
        started_at_ms: is_warming(id).then_some(0.0),
        ..endpoint(id)
    };
    let mut fleet = Fleet::new(fleet_settings(60, plan(50.0, 400.0)), (0..30).map(entry).collect());
    for gateway in 0..60 {
        let settings = Settings {
            this_gateway: GatewayIndex(gateway),
            zone: ZoneIndex(gateway % 3),
            ..fleet.settings.clone()
        };
        fleet.start_gateway_with(settings, 5 + gateway as u64);
    }
    let mut local = 0;
    for step in 0..1500usize {
        let gateway = step * 37 % 60;
        let before = fleet.sent.len();
        fleet.submit(gateway, |r| {
            (r.customer, r.gateway_count, r.first_gateway) =
                (CustomerId(gateway as u64 + (5 << 40)), 1, GatewayIndex(gateway));
        });
        local += fleet.sent[before..].iter().filter(|s| zone(s.endpoint.0) == gateway % 3).count();
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

/// A gateway of a large fleet that sends to all zones alike seldom finds an open connection to an
/// endpoint, and has to open new ones. One that sends only to its own zone overloads it when most of the
/// zone's endpoints are warming up. While all endpoints are warm, more than four fifths of the attempts
/// are local, and all endpoints get about as many. While eight of the ten endpoints of one zone are warming
/// up, less than four fifths of the attempts of all gateways are local, but more than two fifths. Per
/// endpoint, the zone's warming endpoints get less than 0.4 times and its warm ones less than 1.7 times as
/// many attempts as the endpoints of another zone.
#[test]
fn prefers_the_local_zone_as_far_as_its_endpoints_have_capacity() {
    let spread = zone_spread(0);
    let (local, warm) = (spread.local_fraction, spread.per_warm_endpoint);
    assert!(local > 0.8, "{local} in the local zone while all zones have the same capacity");
    assert!(warm.iter().all(|n| (30.0..75.0).contains(n)), "{warm:?} attempts per endpoint, by zone");
    // Eight of the ten endpoints of zone 0 have just started. If the gateways of zone 0 sent everything to
    // other zones, and the other gateways everything to their own, the fraction would be 2/3.
    let spread = zone_spread(8);
    let (local, warm, warming) =
        (spread.local_fraction, spread.per_warm_endpoint, spread.per_warming_endpoint);
    assert!(
        local < 0.8 && local > 0.4,
        "{local} in the local zone while eight of ten endpoints of one zone warm up"
    );
    assert!(warming < 0.4 * warm[1], "{warming} per warming endpoint, {warm:?} per warm endpoint by zone");
    assert!(warm[0] < 1.7 * warm[1], "{warm:?} attempts per warm endpoint, by zone");
}
