//! How many attempts may be in flight: the watermark, the bounds around it, and the stock that peers report.
use crate::common::*;
use irishinge_admission::*;

/// Start 1, message 1, stock 63, watermark 2.
const REPORT_OF_HIGH_STOCK: &str = "h001010_0W";

/// Sixty requests come at once at ten endpoints. If all were sent, they would queue at the endpoints, where
/// the gateway can neither order nor reject them. It sends two for each endpoint and a tenth more, and queues
/// the others.
#[test]
fn sends_up_to_the_upper_bound_and_queues_beyond_it() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 10);
    let sent = sent_attempts(&gateway.submit_as_new_customers(60)).len();
    // Two for each of ten endpoints, and a tenth more.
    assert_eq!(sent, 22);
}

/// A peer reports so high a stock that the band is full by its report alone. If that stopped this gateway, a
/// peer with a higher watermark could lock it out for good. It still sends its even fraction of the lower
/// bound.
#[test]
fn sends_its_even_fraction_of_the_lower_bound_whatever_stock_a_peer_reports() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 10);
    gateway.receive(REPORT_OF_HIGH_STOCK);
    let sent = sent_attempts(&gateway.submit_as_new_customers(40)).len();
    assert_eq!(sent, 9, "its even fraction of the lower bound, 18 / 2");
}

/// A peer reports a high stock and then crashes. If its last report counted for good, its stock would take up
/// capacity that nobody uses. Two seconds later it no longer counts, and this gateway sends up to the upper
/// bound by its own stock.
#[test]
fn drops_the_stock_of_an_unresponsive_peer() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 10);
    gateway.receive(REPORT_OF_HIGH_STOCK);
    gateway.now_ms += 2100.0;
    assert_eq!(sent_attempts(&gateway.submit_as_new_customers(60)).len(), 22);
}

/// A gossip fleet places attempts at random, so that some endpoints have more than the mean; its band starts
/// wider than that of a broadcast fleet. Peers report three attempts in flight for each endpoint, prompt
/// responses and a watermark of 2. If the gateway took that watermark, its requests would wait while
/// endpoints have capacity. It sends at least four of five within 300 ms.
#[test]
fn gossip_gateway_is_not_held_back_by_a_watermark_as_low_as_a_broadcast_fleets() {
    let settings = Settings { this_gateway: GatewayIndex(3), ..fleet_settings(100, plan(100.0, 400.0)) };
    let mut gateway = SingleGateway::new_without_endpoints(settings, SEED, 0.0);
    let entries = warm_endpoints(40);
    let mut actions = gateway.handle_event(Event::EndpointList { kind: ListUpdateKind::Complete, entries });
    // 3 attempts in flight at each endpoint, answered promptly, and a watermark of 2.
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
        if round == 65 {
            assert!(sent >= 4, "{sent} of 5 sent within 300 ms");
        }
    }
}
