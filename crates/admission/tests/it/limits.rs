//! Limits that bound memory: how many requests are queued, and how many customers are retained.
use crate::common::*;
use irishinge_admission::*;

/// Maximum number of queued requests.
const MAX_QUEUED: usize = 4000;
/// Number of customers above which idle customers are evicted early.
const MAX_CUSTOMERS: u64 = 50_000;

/// Returns whether a request was rejected, or failed, when it was submitted.
fn is_rejected(submitted: &Submitted) -> bool {
    rejection_or_failure_count(&submitted.actions, submitted.id) == 1
}

/// Submits requests of different customers to a gateway that knows no endpoint, and asserts that it
/// rejects the first one beyond the maximum and none before.
fn assert_queue_holds_exactly_the_maximum(mut gateway: SingleGateway) {
    for n in 0..MAX_QUEUED {
        gateway.customer += 1;
        assert!(!is_rejected(&gateway.submit()), "{n} are queued");
    }
    gateway.customer += 1;
    let excess = gateway.submit();
    assert!(is_rejected(&excess), "{MAX_QUEUED} are queued");
}

/// No endpoint is known, and requests keep arriving. An unbounded queue would grow until the process has
/// no memory left; a queue that is too short would reject requests that can still be served. 4,000
/// requests are queued, and the next one is rejected at once.
#[test]
fn broadcast_gateway_queues_4000_requests_and_rejects_the_next() {
    let settings = broadcast_settings(Idempotency::Idempotent);
    assert_queue_holds_exactly_the_maximum(SingleGateway::new_without_endpoints(settings, SEED, 0.0));
}

/// A gateway in gossip mode queues every request before it knows its quota. It has the same maximum.
#[test]
fn gossip_gateway_queues_4000_requests_and_rejects_the_next() {
    let settings = fleet_settings(100, plan(10.0, 40.0));
    assert_queue_holds_exactly_the_maximum(SingleGateway::new_without_endpoints(settings, SEED, 0.0));
}

/// Returns whether the first of this many customers has a full bucket again after all have been idle for 3
/// s. In isolated mode the gateway enforces each customer's quota alone. The quota is one request, and its
/// bucket takes 1000 s to refill.
fn evicts_first_customer_of(customers: u64) -> bool {
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

/// Each customer sends one request and is idle afterwards. If the record of a customer whose bucket is not
/// full were dropped early, the customer would get a second burst by waiting; if no record were ever
/// dropped, memory would grow with every customer ever seen. 50,000 idle customers are retained. With one
/// more they are evicted, and the first one has a full bucket again.
#[test]
fn retains_50_000_idle_customers_and_evicts_them_when_there_are_more() {
    assert!(!evicts_first_customer_of(MAX_CUSTOMERS));
    assert!(evicts_first_customer_of(MAX_CUSTOMERS + 1));
}
