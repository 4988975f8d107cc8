//! The limit on attempts in flight: the watermark, the bounds around it, and the attempts in flight that
//! peers' messages state.
use crate::common::*;
use irishinge_admission::*;

/// A counts message: version `h`, incarnation 1, sequence number 1, 63 attempts in flight, watermark 2.
const HIGH_IN_FLIGHT_COUNTS: &str = "h001010_0W";

/// Sixty requests arrive at once for ten endpoints. If all were sent, they would queue at the endpoints,
/// where the gateway can neither order nor reject them. It sends two for each endpoint and a tenth more,
/// and queues the others.
#[test]
fn sends_up_to_the_upper_bound_and_queues_the_rest() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 10);
    let sent = sent_attempts(&gateway.submit_as_new_customers(60)).len();
    // The watermark is 2 for each of ten endpoints; the upper bound is a tenth above.
    assert_eq!(sent, 22);
}

/// A peer's counts message states so many attempts in flight that these alone fill the band. If that stopped
/// this gateway, a peer with a higher watermark could keep it from sending for good. It still sends its equal
/// share of the lower bound.
#[test]
fn sends_its_equal_share_of_the_lower_bound_when_a_peer_fills_the_band() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 10);
    gateway.receive(HIGH_IN_FLIGHT_COUNTS);
    let sent = sent_attempts(&gateway.submit_as_new_customers(40)).len();
    assert_eq!(sent, 9, "its equal share of the lower bound, 18 / 2");
}

/// A peer sends a counts message with many attempts in flight and then crashes. If this message counted for
/// good, these attempts would take up capacity that nobody uses. Two seconds later it no longer counts, and
/// this gateway sends up to the upper bound by its own attempts in flight.
#[test]
fn ignores_attempts_in_flight_of_a_crashed_peer() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 10);
    gateway.receive(HIGH_IN_FLIGHT_COUNTS);
    gateway.now_ms += 2100.0;
    assert_eq!(sent_attempts(&gateway.submit_as_new_customers(60)).len(), 22);
}

/// In gossip mode attempts are placed at random, so that some endpoints have more than the mean, and the
/// watermark starts at 4 and never falls below, instead of 2 as in broadcast mode. Peers' messages carry
/// means over the fleet: a watermark of 2, fast responses, and 1.2 attempts in flight per gateway, which are
/// three for each endpoint. If the gateway adopted that watermark, its requests would wait while endpoints
/// have capacity. It sends at least four of five requests within 300 ms.
#[test]
fn gossip_gateway_sends_despite_peer_watermarks_below_its_own_floor() {
    let settings = Settings { this_gateway: GatewayIndex(3), ..fleet_settings(100, plan(100.0, 400.0)) };
    let mut gateway = SingleGateway::new_without_endpoints(settings, SEED, 0.0);
    let entries = warm_endpoints(40);
    let mut actions = gateway.handle_event(Event::EndpointList { kind: ListUpdateKind::Complete, entries });
    // 120 attempts in flight over 100 gateways, 3 at each of the 40 endpoints, at a watermark of 2.
    let body = gossip_message(GossipMeans { in_flight_64ths: 120 * 64 / 100, watermark: 2 });
    let mut sent = 0;
    for round in 0..100usize {
        if round == 50 {
            for n in 0..5 {
                let customer = CustomerId(n + (3 << 40));
                let request = Request { first_gateway: GatewayIndex(3), ..request(RequestId(n), customer) };
                actions.extend(gateway.handle_event(Event::Request(request)));
            }
        }
        let from = GatewayIndex(4 + round % 90);
        actions.extend(gateway.handle_event(Event::PeerMessage { from, body: body.clone() }));
        actions.extend(gateway.handle_event(Event::Timer { token: 0 }));
        sent += sent_attempts(&actions).len();
        actions.clear();
        gateway.now_ms += 20.0;
        // The five requests came in round 50, 300 ms ago; the rounds after this one check nothing.
        if round == 65 {
            assert!(sent >= 4, "{sent} of 5 sent within 300 ms");
        }
    }
}
