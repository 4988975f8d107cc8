//! Bounds on memory: how many requests are queued and how many customers are retained.
use crate::common::*;
use irishinge_admission::*;

const MAX_QUEUED: usize = 4000;
const MAX_CUSTOMERS: u64 = 50_000;

fn is_rejected(submitted: &Submitted) -> bool {
    final_response_count(&submitted.actions, submitted.id) == 1
}

/// Fills the queue of a gateway that knows no endpoint with requests of as many customers.
fn assert_rejects_at_once_only_beyond_the_bound(mut gateway: SingleGateway) {
    for n in 0..MAX_QUEUED {
        gateway.customer += 1;
        assert!(!is_rejected(&gateway.submit()), "{n} are queued");
    }
    gateway.customer += 1;
    let beyond = gateway.submit();
    assert!(is_rejected(&beyond), "{MAX_QUEUED} are queued");
}

/// No endpoint is known, and requests go on coming. An unbounded queue would grow until the process has no
/// memory left; a queue that is too short would reject what could still be served. 4,000 requests are queued,
/// and the next is rejected at once.
#[test]
fn broadcast_gateway_queues_4000_requests_and_rejects_the_next() {
    let settings = broadcast_settings(Idempotency::Idempotent);
    assert_rejects_at_once_only_beyond_the_bound(SingleGateway::new_without_endpoints(settings, SEED, 0.0));
}

/// The same in a gossip fleet, whose gateways queue every request before they know its quota.
#[test]
fn gossip_gateway_queues_4000_requests_and_rejects_the_next() {
    let settings = fleet_settings(100, plan(10.0, 40.0));
    assert_rejects_at_once_only_beyond_the_bound(SingleGateway::new_without_endpoints(settings, SEED, 0.0));
}

/// Whether the first customer's bucket is full again once so many customers have been idle for 3 s. A gateway without
/// messages and counter enforces each customer's quota by itself: here one request each, for a long time.
fn forgets_the_first_of(customers: u64) -> bool {
    let settings = Settings { peer_messages_allowed: false, ..fleet_settings(2, plan(0.001, 1.0)) };
    let mut gateway = SingleGateway::new_without_endpoints(settings, SEED, 0.0);
    gateway.update_endpoints(warm_endpoints(4));
    for customer in 0..customers {
        gateway.customer = customer;
        let sent = gateway.submit().sent_attempts();
        assert_eq!(sent.len(), 1, "customer {customer}");
        gateway.end_attempt(sent[0], 0, Outcome::Ok, 5.0);
    }
    gateway.customer = 0;
    assert!(is_rejected(&gateway.submit()), "its bucket is empty");
    gateway.advance(3000.0);
    !is_rejected(&gateway.submit())
}

/// Customers send a request each and are idle from then on. If the record of one whose bucket is not full
/// were dropped early, it would get a second burst by waiting; if none were ever dropped, memory would grow
/// with every customer ever seen. 50,000 idle customers are retained; with one more they are evicted, and the
/// first has a full bucket again.
#[test]
fn retains_50_000_idle_customers_and_evicts_them_when_there_are_more() {
    assert!(!forgets_the_first_of(MAX_CUSTOMERS));
    assert!(forgets_the_first_of(MAX_CUSTOMERS + 1));
}
