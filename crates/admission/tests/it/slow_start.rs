//! Endpoints that are warming up are not overloaded. An endpoint is overloaded if it is sent more than the
//! overload multiple of the capacity that it has at the time.
use crate::common::*;
use irishinge_admission::*;

/// Returns an endpoint whose process started at 0 ms, in a zone by the parity of its id.
fn warming_endpoint(id: u64) -> EndpointEntry {
    EndpointEntry { started_at_ms: Some(0.0), ..endpoint_in_zone_by_parity(id) }
}

/// The only endpoint has just started and rejects every attempt as overloaded. A rejection costs it work
/// too: if rejected attempts did not count, retries would send it many times its capacity, and it would
/// fail. In its first second it gets at most three attempts, and it is used as it warms up.
#[test]
fn warm_up_budget_counts_attempts_rejected_as_overloaded() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 0);
    gateway.update_endpoints(vec![warming_endpoint(0)]);
    let mut times = Vec::new();
    for _ in 0..250 {
        let mut actions = gateway.advance(20.0);
        actions.extend(gateway.submit_as_new_customers(1));
        for sent in sent_attempts(&actions) {
            times.push(gateway.now_ms);
            let again = gateway.end_attempt(sent, 0, Outcome::Overloaded, 1.0);
            times.extend(sent_attempts(&again).iter().map(|_| gateway.now_ms));
        }
    }
    // A response is taken to need 150 ms, so that a warm endpoint of one core handles 1000 / 150 = 6.67
    // attempts per second. This endpoint has at most 0.28 of that in its first second, and 0.36 in its
    // first two. The overload multiple is 2, and this gateway's equal share of it one half. In the first
    // second that allows 6.67 * 0.28 * 2 / 2 = 1.9 attempts.
    let early = times.iter().filter(|t| **t < 1000.0).count();
    assert!(early <= 3, "{early} attempts in the first second");
    assert!(times.len() > 5, "the endpoint is used as it warms up: {}", times.len());
}

/// Warm endpoints are busy, and one that is warming up has nothing in flight. If endpoints were selected
/// by attempts in flight alone, it would look like the best of all and get more than it can do. It gets at
/// most five requests in two seconds.
#[test]
fn sends_few_requests_to_a_warming_endpoint_among_busy_warm_ones() {
    let mut settings = broadcast_settings(Idempotency::Idempotent);
    settings.cold_start_fraction = 0.5;
    let mut gateway = SingleGateway::new(settings, 4);
    gateway.update_endpoints(vec![warming_endpoint(9)]);
    let mut warming = 0;
    for _ in 0..100 {
        let mut actions = gateway.advance(20.0);
        actions.extend(gateway.submit_as_new_customers(1));
        for sent in sent_attempts(&actions) {
            if sent.endpoint.0 == 9 {
                warming += 1;
                gateway.end_attempt(sent, 0, Outcome::Ok, 5.0);
            }
        }
    }
    // The test above covers that warming endpoints are used at all.
    assert!(warming <= 5, "{warming} attempts in two seconds at an endpoint with half its capacity");
}

/// Two endpoints of forty have just started, and 500 gateways each send little, without knowing what the
/// others send. If each sent a warming endpoint a little more than its fraction, all together would
/// overload it. In no second is it sent more than the overload multiple of its present capacity, nor more
/// than a warm endpoint gets on average, and it is used.
#[test]
fn five_hundred_gateways_together_do_not_overload_warming_endpoints() {
    let mut entries = warm_endpoints(38);
    entries.extend([38, 39].map(|id| EndpointEntry { started_at_ms: Some(0.0), ..endpoint(id) }));
    let mut fleet = Fleet::new(fleet_settings(500, plan(100.0, 400.0)), entries);
    for step in 0..60 {
        for n in 0..20 {
            let gateway = (step * 20 + n) * 7 % 500;
            fleet.submit(gateway, |r| r.customer = CustomerId(gateway as u64 + (9 << 40)));
        }
        fleet.advance(50.0);
    }
    assert!(fleet.sent.len() > 900, "{}", fleet.sent.len());
    // 400 requests per second for 40 endpoints are 10 per second for each warm one. A warming endpoint has
    // a fifth of its capacity at first, and nearly a half after 3 s.
    for warming in [38, 39] {
        let times: Vec<f64> =
            fleet.sent.iter().filter(|s| s.endpoint == EndpointId(warming)).map(|s| s.at_ms).collect();
        for start in &times {
            let capacity = 0.2 + 0.8 * start / 10_000.0;
            let window = times.iter().filter(|t| **t >= *start && **t < start + 1000.0).count() as f64;
            // An attempt takes 100 ms, and four at once are taken as an endpoint's capacity: 40 per
            // second. The overload multiple is 2.
            assert!(window <= 2.0 * 40.0 * capacity, "{window} at {start}");
            assert!(window <= 10.0, "more than a warm endpoint gets: {window}");
        }
        assert!(!times.is_empty(), "the warming endpoint is not used");
    }
}
