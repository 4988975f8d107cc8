//! The limit on a customer's attempts in flight.
use crate::common::*;
use irishinge_admission::*;

/// A customer that may have two attempts in flight submits three requests. Sending the third would exceed the
/// limit; rejecting it would fail a client whose slot is free a moment later. It is queued, and sent when an
/// attempt ends.
#[test]
fn queues_the_next_request_until_an_attempt_ends() {
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

/// Eight gateways serve a customer with three slots, and each has recently received reports of all others.
/// Reports are late: if every gateway sent as long as the reports show a free slot, all eight could send at
/// once; if none did, the slots would stay empty. Four have a slot of their own, a third more than there are
/// slots, since few gateways are busy at once; the others wait.
#[test]
fn few_gateways_have_a_slot_of_their_own_where_many_serve_a_customer() {
    let mut owners = 0;
    for me in 0..8 {
        let mut settings = broadcast_settings(Idempotency::Idempotent);
        settings.plans = vec![PlanSettings { concurrency_limit: 3, ..plan(0.0, 0.0) }];
        (settings.this_gateway, settings.gateways) = (GatewayIndex(me), 8);
        let mut gateway = SingleGateway::new(settings.clone(), 10);
        for peer in (0..8).filter(|peer| *peer != me) {
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
        owners += gateway.submit_with(|r| r.gateway_count = 8).sent_attempts().len();
    }
    assert_eq!(owners, 4);
}

/// Requests of a customer with three slots come at 120 gateways, several times as many as three slots can
/// serve. If each gateway counted only its own attempts, all would be sent. Never more than three attempts
/// are in flight, and a slot is used again soon after its attempt has ended.
#[test]
fn holds_over_a_gossip_fleet() {
    let limits = PlanSettings { concurrency_limit: 3, ..plan(0.0, 0.0) };
    let mut fleet = gossip_fleet(120, limits);
    for step in 0..300 {
        fleet.submit(step * 17 % 120, |_| {});
        fleet.advance(10.0);
    }
    let times: Vec<f64> = fleet.sent.iter().map(|s| s.at_ms).collect();
    // Three at a time for 100 ms and two messages of 8 ms over three seconds.
    assert!((60..=100).contains(&times.len()), "{}", times.len());
    for start in &times {
        let in_flight = times.iter().filter(|t| **t <= *start && *start < **t + 100.0).count();
        assert!(in_flight <= 3, "{in_flight} at {start}");
    }
}

/// Where gateways exchange no counts a customer is known by its complete id, whose low bits may be any. A
/// gateway's place among the customer's gateways is a sum with those bits: with all of them set, a sum that
/// does not wrap ends a debug build. The limit of two slots applies to this customer as to others.
#[test]
fn holds_for_a_customer_with_the_highest_id() {
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
