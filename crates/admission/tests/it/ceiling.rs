//! The hard ceiling of a plan holds through restarts, lost messages and the lack of any coordination.
use crate::common::*;
use irishinge_admission::*;

/// Returns the settings of a gateway of two, with a hard ceiling of 4 units per second and a burst of 8.
fn broadcast_settings_with_ceiling(index: usize) -> Settings {
    let plan = PlanSettings { ceiling_rate_per_second: 4.0, ceiling_burst_units: 8.0, ..plan(100.0, 400.0) };
    Settings {
        this_gateway: GatewayIndex(index),
        plans: vec![plan],
        ..broadcast_settings(Idempotency::Idempotent)
    }
}

/// Both gateways of a fleet restart again and again, and each time forget what they have sent. Guards
/// against a gateway that starts with a full bucket: each restart would let another burst pass, beyond the
/// hard ceiling. The test counts with a bucket of its own, which no restart refills. It is never overdrawn
/// by a whole unit, and more than 15 requests are sent in the 8 s.
#[test]
fn ceiling_holds_when_every_gateway_of_a_broadcast_fleet_restarts() {
    // The bucket of the test starts with 8 units and gains 4 per second.
    let (mut bucket, mut filled_ms) = (8.0_f64, 0.0);
    let mut gateways = [0, 1].map(|index| SingleGateway::new(broadcast_settings_with_ceiling(index), 20));
    let mut spent = 0;
    for round in 0..400 {
        let now_ms = f64::from(round) * 20.0;
        for index in 0..2 {
            if round % 100 == 50 + index as i32 * 7 {
                let settings = broadcast_settings_with_ceiling(index);
                gateways[index] =
                    SingleGateway::new_without_endpoints(settings, SEED + now_ms as u64, now_ms);
                gateways[index].update_endpoints((0..20).map(endpoint_in_zone_by_parity).collect());
            }
            gateways[index].now_ms = now_ms;
            let mut actions = gateways[index].handle_event(Event::Timer { token: 0 });
            gateways[index].last_request += 1000 * round as u64;
            actions.extend(gateways[index].submit().actions);
            for body in peer_messages(&actions) {
                let from = GatewayIndex(index);
                gateways[1 - index].handle_event(Event::PeerMessage { from, body });
            }
            bucket = (bucket + 4.0 * (now_ms - filled_ms) / 1000.0).min(8.0);
            filled_ms = now_ms;
            for sent in sent_attempts(&actions) {
                bucket -= 1.0;
                spent += 1;
                assert!(bucket > -1.0, "the ceiling is exceeded by a unit or more at {now_ms} ms");
                gateways[index].end_attempt(sent, 0, Outcome::Ok, 10.0);
            }
        }
    }
    assert!(spent > 15, "the ceiling is used: {spent}");
}

/// About one message in seven is lost. Every 400 ms one of six gateways restarts, and the complete fleet
/// restarts three times, so that no gateway remembers what a customer has used. An owner that starts with a
/// full bucket, or that grants a request twice because its response was lost, would exceed the hard
/// ceiling. In no period is more than one request sent beyond what the ceiling's burst and rate allow.
#[test]
fn ceiling_holds_in_a_gossip_fleet_with_lost_messages_and_restarts() {
    let limits =
        PlanSettings { ceiling_rate_per_second: 4.0, ceiling_burst_units: 12.0, ..plan(1000.0, 4000.0) };
    let mut fleet = gossip_fleet(60, limits);
    fleet.lose_one_in = 7;
    for step in 0..300 {
        fleet.submit(step * 17 % 60, |_| {});
        fleet.advance(40.0);
        if step % 100 == 50 {
            for index in 0..60 {
                fleet.start_gateway(index);
            }
        }
        if step % 10 == 0 {
            // As `step` is a multiple of 10, this is one of the gateways 0, 10, 20, 30, 40 and 50.
            fleet.start_gateway(step * 7 % 60);
        }
    }
    let times: Vec<f64> = fleet.sent.iter().map(|s| s.at_ms).collect();
    assert!(times.len() > 10, "{}", times.len());
    for (n, start) in times.iter().enumerate() {
        for (m, end) in times.iter().enumerate().skip(n) {
            // The burst, the rate, and one request more.
            let limit = 12.0 + 4.0 * (end - start) / 1000.0 + 1.0;
            assert!((m - n + 1) as f64 <= limit, "{} from {start} to {end}", m - n + 1);
        }
    }
}

/// Gateways may not send each other messages, so that none knows what the others sent. If each allowed the
/// whole ceiling, twelve gateways would exceed it twelvefold. Each has an equal share of it, in isolated mode
/// and in counter mode: from the start on, together they never send more than the ceiling's burst and rate
/// allow, and more than 100 requests in 5 s, in which 260 are allowed.
#[test]
fn ceiling_holds_without_messages_between_gateways() {
    for counter_allowed in [false, true] {
        let limits =
            PlanSettings { ceiling_rate_per_second: 40.0, ceiling_burst_units: 60.0, ..plan(1000.0, 4000.0) };
        let settings =
            Settings { peer_messages_allowed: false, counter_allowed, ..fleet_settings(12, limits) };
        let mut fleet = Fleet::new(settings, warm_endpoints(40));
        let start_ms = fleet.now_ms;
        for step in 0..1000 {
            fleet.submit(step * 5 % 12, |_| {});
            fleet.advance(5.0);
            let limit = 60.0 + 40.0 * (fleet.now_ms - start_ms) / 1000.0;
            let sent = fleet.sent_for(CUSTOMER);
            assert!(sent as f64 <= limit, "{sent} at {}", fleet.now_ms);
        }
        assert!(fleet.sent_for(CUSTOMER) > 100, "{}", fleet.sent_for(CUSTOMER));
    }
}
