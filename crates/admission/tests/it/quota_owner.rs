//! Quotas in gossip mode: one gateway owns each customer's quota, and the others send it quota requests.
use crate::common::*;
use irishinge_admission::*;

/// Requests of one customer arrive at five times its rate, but at 120 gateways, so that each sees one in
/// 12 s. By its own requests no gateway can tell that the customer is over its quota: if each decided
/// alone, all would be sent. The quota's owner counts them all, and no more are sent than rate and burst
/// allow.
#[test]
fn owner_holds_the_quota_of_a_customer_seen_rarely_at_each_gateway() {
    let mut fleet = gossip_fleet(120, plan(2.0, 8.0));
    for step in 0..200 {
        fleet.submit(step * 17 % 120, |_| {});
        fleet.advance(100.0);
    }
    // 20 s at 10 requests per second; the rate of 2 per second and the burst of 8 allow 48.
    let sent = fleet.sent_for(CUSTOMER);
    assert!((40..=50).contains(&sent), "{sent}");
}

/// The owner of a customer's quota crashes. If the other gateways kept waiting for it, all of the
/// customer's requests would run out of time; if each then decided alone, all would be sent. The next
/// gateway in the ranking takes over with a full bucket, so that at most one more burst is sent.
#[test]
fn next_owner_holds_the_quota_after_the_owner_crashes() {
    let mut fleet = gossip_fleet(120, plan(2.0, 8.0));
    for step in 0..100 {
        fleet.submit(step * 17 % 120, |_| {});
        fleet.advance(100.0);
    }
    // Only the owner sends a request at once, because it needs no quota request for it.
    let before = fleet.sent_for(CUSTOMER);
    let owner = (0..120).find(|gateway| {
        let mut probe = Fleet::new(fleet_settings(120, plan(2.0, 8.0)), warm_endpoints(40));
        probe.submit(*gateway, |_| {});
        probe.sent_for(CUSTOMER) == 1
    });
    let owner = owner.expect("the owner sends its own request at once");
    fleet.gateways.remove(&owner);
    for step in 0..100 {
        fleet.submit((step * 17 + 1) % 120, |_| {});
        fleet.advance(100.0);
    }
    let after = fleet.sent_for(CUSTOMER) - before;
    // The next owner starts with a full bucket: 20 by the rate and 8 more.
    assert!((15..=30).contains(&after), "{after}");
}

/// Of 2^13 customers of one plan some pairs have the same short tag, of 24 bits. In broadcast mode the short
/// tag is the key of a customer's record. If it were in gossip mode too, the second customer of a pair would
/// be rejected for what the first has sent. Each customer has its own burst.
#[test]
fn customers_with_the_same_short_tag_have_separate_buckets() {
    let mut fleet = gossip_fleet(40, plan(0.001, 1.0));
    for n in 0..8192u64 {
        // The odd factor spreads the ids over all 64 bits, without repetition.
        fleet.submit((n % 40) as usize, |r| r.customer = CustomerId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        if n % 8 == 0 {
            fleet.advance(30.0);
        }
    }
    fleet.advance(500.0);
    assert_eq!(fleet.sent.len(), 8192);
}

/// One customer's clients send 150 times its rate. Its quota requests could use up the messages that
/// gateways accept, and its requests could fill the queue, so that other customers' requests wait for a
/// quota until their time is over. At least nine in ten of the other customers' requests are served.
#[test]
fn other_customers_are_served_during_a_flood_of_requests() {
    let mut fleet = gossip_fleet(60, plan(2.0, 8.0));
    let mut others = Vec::new();
    for step in 0..1000usize {
        for n in 0..3 {
            fleet.submit((step * 17 + n) % 60, |r| r.time_left_ms = 400.0);
        }
        if step % 20 == 0 {
            let other = CustomerId(step as u64 / 20 % 10 + (5 << 40));
            others.push(fleet.submit(step * 7 % 60, |r| r.customer = other));
        }
        fleet.advance(10.0);
    }
    fleet.advance(1000.0);
    // A request that is still queued after its latency objective of 1 s is rejected, so that the others have
    // been sent.
    let served = others.iter().filter(|id| !fleet.rejected_or_failed.contains(id)).count();
    assert!(served * 10 >= others.len() * 9, "{served} of {}", others.len());
}

/// A customer's requests may come through any of 100 gateways. Until now they came through the same five, and
/// now sixteen others get one request each. If the quota were divided by past use, the others would reject
/// requests within the quota until they have learned of it. All 16 requests are sent.
#[test]
fn customer_is_served_at_once_by_gateways_new_to_it() {
    let mut fleet = gossip_fleet(100, plan(10.0, 20.0));
    for step in 0..100 {
        fleet.submit(step % 5, |_| {});
        fleet.advance(125.0);
    }
    let before = fleet.sent.len();
    for step in 0..16 {
        fleet.submit(60 + step % 20, |_| {});
        fleet.advance(125.0);
    }
    fleet.advance(200.0);
    assert_eq!(
        fleet.sent.len() - before,
        16,
        "8 per second at a rate of 10, at gateways that never saw the customer"
    );
}

/// A gateway owns the quotas of many customers, and others send it nearly as many quota requests as it
/// accepts messages. If these used up all its messages, it could send no quota requests of its own, and
/// its own clients would be rejected for it. At most two of its fifty requests are rejected.
#[test]
fn quota_owner_at_its_message_limit_serves_its_own_requests() {
    /// Index of the gateway that receives the quota requests.
    const BUSY_OWNER: usize = 17;
    let mut fleet = gossip_fleet(120, plan(50.0, 100.0));
    // Finds customers whose quotas the busy gateway owns: a request at another gateway sends it a message.
    let mut owned = Vec::new();
    for n in 0..2400 {
        let customer = CustomerId(n + (9 << 40));
        fleet.last_message_receiver = None;
        fleet.submit((BUSY_OWNER + 1 + n as usize % 119) % 120, |r| r.customer = customer);
        if fleet.last_message_receiver == Some(BUSY_OWNER) {
            owned.push(customer);
        }
        fleet.advance(2.0);
    }
    fleet.advance(3000.0);
    let mut own = Vec::new();
    for step in 0..500 {
        // The owner gets 50 quota requests per second from all over the fleet, of the 60 messages that it
        // accepts, and 5 requests from its own clients.
        let requesting = (BUSY_OWNER + 1 + step % 119) % 120;
        fleet.submit(requesting, |r| r.customer = owned[step % owned.len()]);
        if step % 10 == 0 {
            own.push(fleet.submit(BUSY_OWNER, |r| r.customer = CustomerId(step as u64 + (8 << 40))));
        }
        fleet.advance(20.0);
    }
    fleet.advance(1000.0);
    let rejected = own.iter().filter(|id| fleet.rejected_or_failed.contains(id)).count();
    assert!(rejected <= 2, "{rejected} of {} rejected", own.len());
}
