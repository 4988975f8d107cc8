//! The order in which queued requests are sent.
use crate::common::*;
use irishinge_admission::*;

/// The band is full. One customer queues three requests, then another customer queues one. In order of
/// arrival the second customer would wait for all requests that the first has queued, however many.
/// Requests are sent by virtual finish time instead: the second customer's request goes before the second
/// request of the first customer, and each customer's requests keep their order.
#[test]
fn dispatches_by_virtual_finish_time_and_in_order_within_a_customer() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 10);
    // 22 attempts in flight fill the band: two for each of the ten endpoints, and a tenth more.
    let in_flight = sent_attempts(&gateway.submit_as_new_customers(22));
    gateway.customer = 1000;
    let first_customer: Vec<RequestId> = (0..3).map(|_| gateway.submit().id).collect();
    gateway.customer = 2000;
    // The virtual finish times of the first customer's requests are those of 1, 2 and 3 units. With 1.5 units
    // this request's lies between two of them.
    let second_customer = gateway.submit_with(|r| r.units = 1.5).id;
    gateway.now_ms += 100.0;
    let mut order = Vec::new();
    for sent in in_flight {
        let dispatched = sent_attempts(&gateway.end_attempt(sent, 0, Outcome::Ok, 100.0));
        order.extend(dispatched.iter().map(|attempt| attempt.request));
    }
    assert_eq!(order, vec![first_customer[0], second_customer, first_customer[1], first_customer[2]]);
}

/// The band is overfull, and requests of two classes arrive faster than dispatch credit is earned. If both
/// classes waited alike, half of the credit would go to requests with a third of the priority weight,
/// while the others run out of time. The class with the higher priority weight is sent more than twice as
/// often, and fewer of its requests are rejected.
#[test]
fn class_with_higher_priority_goes_first_while_credit_is_short() {
    let mut settings = fleet_settings(100, plan(50.0, 400.0));
    settings.classes[0].priority_weight = 1.0;
    settings.classes[1].priority_weight = 3.0;
    settings.classes.iter_mut().for_each(|c| c.idempotency = Idempotency::NonIdempotent);
    let mut gateway = SingleGateway::new_without_endpoints(
        Settings { this_gateway: GatewayIndex(3), ..settings },
        SEED,
        0.0,
    );
    let entries = warm_endpoints(40);
    let mut actions = gateway.handle_event(Event::EndpointList { kind: ListUpdateKind::Complete, entries });
    // 240 attempts in flight over 100 gateways, 6 at each of the 40 endpoints, at a watermark of 4.
    let body = gossip_message(GossipMeans { in_flight_64ths: 240 * 64 / 100, watermark: 4 });
    let (mut submitted, mut sent, mut rejected) = ([0; 2], [0; 2], [0; 2]);
    for round in 0..300usize {
        gateway.now_ms = 20.0 * round as f64;
        actions.extend(
            gateway
                // The senders, 4 to 93, are other gateways than this one, 3.
                .handle_event(Event::PeerMessage { from: GatewayIndex(4 + round % 90), body: body.clone() }),
        );
        actions.extend(gateway.handle_event(Event::Timer { token: 0 }));
        // The first 50 rounds only deliver messages with means. Then each class has 5 requests per second.
        // The band's middle is 4 * 40 / 100 = 1.6 attempts in flight per gateway. While the band is overfull,
        // a gateway earns 0.3 of that in a mean response time of 150 ms: credit for 3.2 requests per second.
        if round > 50 && round % 5 == 0 {
            let class = round / 5 % 2;
            submitted[class] += 1;
            // The lowest bit of the id is the class.
            let id = RequestId(round as u64 * 2 + class as u64);
            let customer = CustomerId(round as u64 + (3 << 40));
            let request =
                Request { class: ClassIndex(class), first_gateway: GatewayIndex(3), ..request(id, customer) };
            actions.extend(gateway.handle_event(Event::Request(request)));
        }
        for action in actions.drain(..) {
            match action {
                Action::Send { request, .. } => sent[request.0 as usize % 2] += 1,
                Action::Reject { request, .. } => rejected[request.0 as usize % 2] += 1,
                _ => {}
            }
        }
    }
    assert!(submitted.iter().all(|n| *n >= 24), "{submitted:?}");
    assert!(sent[1] > 2 * sent[0], "{sent:?} sent of {submitted:?}, {rejected:?} rejected");
    assert!(rejected[0] > rejected[1], "{rejected:?} rejected");
}
