//! The concurrency limit: the maximum number of a customer's attempts in flight.
use crate::common::*;
use irishinge_admission::*;

/// A customer that may have two attempts in flight submits three requests. The third would exceed the
/// limit if it were sent; if it were rejected, its client would fail although a slot is free a moment
/// later. It is queued, and sent when an attempt ends.
#[test]
fn request_over_the_limit_is_queued_until_an_attempt_ends() {
    let mut settings = broadcast_settings(Idempotency::Idempotent);
    settings.plans = vec![PlanSettings { concurrency_limit: 2, ..plan(0.0, 0.0) }];
    let mut gateway = SingleGateway::new(settings, 10);
    let sent = [
        gateway.submit().sent_attempts(),
        gateway.submit().sent_attempts(),
        gateway.submit().sent_attempts(),
    ];
    assert_eq!(sent.iter().map(Vec::len).collect::<Vec<_>>(), vec![1, 1, 0]);
    assert_eq!(sent_attempts(&gateway.end_attempt(sent[0][0], 0, Outcome::Ok, 50.0)).len(), 1);
}

/// Eight gateways serve a customer whose plan allows three attempts in flight, its slots, and each has
/// recent counts messages of all others. These arrive late. If every gateway sent while the messages show a
/// free slot, all eight could send at once; if none did, the slots would stay unused. The four gateways that
/// are first in the customer's order may each send one attempt while the messages show a free slot. These
/// are a third more than there are slots, because few gateways are busy at the same time. The other four
/// assume one attempt more in flight at each peer than its message says, and wait.
#[test]
fn four_of_eight_gateways_may_use_a_slot_if_the_limit_is_three() {
    let mut gateways_with_slot = 0;
    for index in 0..8 {
        let mut settings = broadcast_settings(Idempotency::Idempotent);
        settings.plans = vec![PlanSettings { concurrency_limit: 3, ..plan(0.0, 0.0) }];
        (settings.this_gateway, settings.gateways) = (GatewayIndex(index), 8);
        let mut gateway = SingleGateway::new(settings.clone(), 10);
        for peer in (0..8).filter(|peer| *peer != index) {
            let mut other =
                SingleGateway::new(Settings { this_gateway: GatewayIndex(peer), ..settings.clone() }, 10);
            let submitted = other.submit_with(|r| r.gateway_count = 8);
            let mut bodies = vec![];
            for sent in submitted.sent_attempts() {
                other.end_attempt(sent, 0, Outcome::Ok, 5.0);
                bodies.extend(peer_messages(&other.advance(400.0)));
            }
            bodies.into_iter().for_each(|body| {
                gateway.handle_event(Event::PeerMessage { from: GatewayIndex(peer), body });
            });
        }
        gateways_with_slot += gateway.submit_with(|r| r.gateway_count = 8).sent_attempts().len();
    }
    assert_eq!(gateways_with_slot, 4);
}

/// Requests of a customer with three slots arrive at 120 gateways, several times as many as three slots
/// can serve. Guards against gateways that count only their own attempts, which would send all requests.
/// Never more than three attempts are in flight, and a slot is used again soon after its attempt has
/// ended.
#[test]
fn limit_holds_across_a_gossip_fleet() {
    let limits = PlanSettings { concurrency_limit: 3, ..plan(0.0, 0.0) };
    let mut fleet = gossip_fleet(120, limits);
    for step in 0..300 {
        fleet.submit(step * 17 % 120, |_| {});
        fleet.advance(10.0);
    }
    let times: Vec<f64> = fleet.sent.iter().map(|s| s.at_ms).collect();
    // An attempt takes 100 ms and the two messages before the next one 8 ms each: three slots for 3 s.
    assert!((60..=100).contains(&times.len()), "{}", times.len());
    for start in &times {
        let in_flight = times.iter().filter(|t| **t <= *start && *start < **t + 100.0).count();
        assert!(in_flight <= 3, "{in_flight} at {start}");
    }
}

/// In isolated mode a customer is known by its whole id. A gateway's position among the customer's gateways
/// is computed from a sum with the id's low 32 bits, which overflows if all of them are set. Guards against a
/// sum that does not wrap, which panics in a debug build. The limit of two slots applies to this customer as
/// to others.
#[test]
fn limit_holds_for_a_customer_id_whose_low_bits_are_all_set() {
    let limits = PlanSettings { concurrency_limit: 2, ..plan(0.0, 0.0) };
    let settings = Settings { peer_messages_allowed: false, ..fleet_settings(40, limits) };
    let mut gateway = SingleGateway::new(settings, 10);
    gateway.customer = (1 << 33) - 1;
    let sent = [
        gateway.submit().sent_attempts(),
        gateway.submit().sent_attempts(),
        gateway.submit().sent_attempts(),
    ];
    assert_eq!(sent.iter().map(Vec::len).collect::<Vec<_>>(), vec![1, 1, 0]);
}
