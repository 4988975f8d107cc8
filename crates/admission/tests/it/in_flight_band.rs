//! How many attempts may be in flight: the watermark, the bounds around it, and the stock that peers report.
use crate::common::*;
use irishinge_admission::*;

/// Start 1, message 1, stock 63, watermark 2.
const REPORT_OF_HIGH_STOCK: &str = "h001010_0W";

#[test]
fn sends_up_to_the_upper_bound_and_queues_beyond_it() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 10);
    let sent = sends(&gateway.submit_as_new_customers(60)).len();
    // Two for each of ten endpoints, and a tenth more.
    assert_eq!(sent, 22);
}

#[test]
fn sends_its_even_part_of_the_lower_bound_whatever_stock_a_peer_reports() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 10);
    gateway.receive(REPORT_OF_HIGH_STOCK);
    let sent = sends(&gateway.submit_as_new_customers(40)).len();
    assert_eq!(sent, 9, "its even part of the lower bound, 18 / 2");
}

#[test]
fn drops_the_stock_of_an_unresponsive_peer() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 10);
    gateway.receive(REPORT_OF_HIGH_STOCK);
    gateway.now_ms += 2100.0;
    assert_eq!(sends(&gateway.submit_as_new_customers(60)).len(), 22);
}

/// A gossip fleet places attempts by chance, so that its band starts wider than that of a broadcast fleet.
#[test]
fn gossip_gateway_is_not_held_back_by_a_watermark_as_low_as_a_broadcast_fleets() {
    let settings = Settings { me: GatewayIndex(3), ..fleet_settings(100, plan(100.0, 400.0)) };
    let mut gateway = SingleGateway::started_at(settings, SEED, 0.0);
    let entries = warm_endpoints(40);
    let mut actions = gateway.event(Event::EndpointList { kind: ListKind::Whole, entries });
    // 3 attempts in flight at each endpoint, answered promptly, and a watermark of 2.
    let body = gossip_report(GossipReport { mean_stock_64ths: 120 * 64 / 100, watermark: 2 });
    let mut sent = 0;
    for round in 0..100usize {
        if round == 50 {
            for n in 0..5 {
                let customer = CustomerId(n + (3 << 40));
                let request = Request { first_gateway: GatewayIndex(3), ..request(RequestId(n), customer) };
                actions.extend(gateway.event(Event::Request(request)));
            }
        }
        let from = GatewayIndex(4 + round % 90);
        actions.extend(gateway.event(Event::PeerMessage { from, body: body.clone() }));
        actions.extend(gateway.event(Event::Timer { token: 0 }));
        sent += sends(&actions).len();
        actions.clear();
        gateway.now_ms += 20.0;
        if round == 65 {
            assert!(sent >= 4, "{sent} of 5 sent within 300 ms");
        }
    }
}
