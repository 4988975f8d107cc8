//! Quotas in counter mode, in which gateways may not send each other messages and count at a shared
//! counter.
//!
//! A count is the total of the units that gateways added for a customer since its epoch began. The customer's
//! tokens are the burst and what the rate has added in the epoch, minus the total. While a customer is idle
//! its total stays, so that its tokens rise beyond the burst: the count lags. The gateway that sees a lagging
//! count adds the excess tokens to the total, which is called a catch-up.
use crate::common::*;
use irishinge_admission::*;

/// Requests of one customer arrive at 120 gateways at five times its rate, and the gateways may not send
/// each other messages. If each applied the quota to its own requests alone, all would be sent. Counted at
/// the shared counter, at most 51 are sent: what the rate and one burst allow, and the units by which the
/// count may lag.
#[test]
fn counter_holds_the_quota_across_a_fleet() {
    let mut fleet = counter_fleet(120, plan(2.0, 8.0));
    for step in 0..200 {
        fleet.submit(step * 17 % 120, |_| {});
        fleet.advance(100.0);
    }
    // 20 s at 10 requests per second; the rate of 2 per second and the burst of 8 allow 48, and the count
    // may lag.
    let sent = fleet.sent_for(CUSTOMER);
    assert!((40..=51).contains(&sent), "{sent}");
}

/// A customer returns after a while, at thirty gateways within 100 ms. Without a catch-up of its count, its
/// tokens would include what the rate added in all that time, and the customer would have many bursts. If two
/// gateways caught up the count at the same time and both left their units in the total, the total would be
/// too high and the customer's requests would be rejected. The customer has about one burst, and about its
/// rate afterwards.
#[test]
fn idle_customer_has_one_burst_at_thirty_gateways() {
    let mut fleet = counter_fleet(120, plan(2.0, 8.0));
    for (wait_ms, expected) in [(1000.0, 8..=12), (20_000.0, 8..=12), (20_000.0, 8..=12)] {
        fleet.advance(wait_ms);
        let before = fleet.sent_for(CUSTOMER);
        for gateway in 0..30 {
            fleet.submit(gateway * 3, |_| {});
            fleet.advance(3.0);
        }
        fleet.advance(200.0);
        let sent = fleet.sent_for(CUSTOMER) - before;
        assert!(expected.contains(&sent), "{sent} after {wait_ms} ms");
        // Afterwards requests are sent at the rate.
        for step in 0..50 {
            fleet.submit(step * 7 % 120, |_| {});
            fleet.advance(200.0);
        }
        let sent = fleet.sent_for(CUSTOMER) - before;
        assert!((24..=33).contains(&sent), "{sent} after 10 s more of requests");
    }
}

/// Three clients of four disconnect before the counter has replied, when the units of their requests are
/// already counted. If these units were not given back, requests that were never sent would use up the
/// quota, and the customer would be rejected while it is below its rate. All other requests are sent, and
/// none is rejected.
#[test]
fn gives_back_the_units_of_requests_that_were_never_sent() {
    let mut fleet = counter_fleet(120, plan(2.0, 8.0));
    for gateway in 0..40 {
        let request = fleet.submit(gateway, |r| r.units = 2.0);
        if gateway % 4 > 0 {
            // The client disconnects before the counter has replied.
            fleet.handle_event(gateway, Event::ClientDisconnected { request });
        }
        fleet.advance(1000.0);
    }
    // One request of 2 units every 4 s is sent, below the rate of 2 per second. The others' units are
    // given back.
    assert_eq!(fleet.sent_for(CUSTOMER), 10);
    assert!(fleet.rejected_or_failed.is_empty(), "{:?}", fleet.rejected_or_failed);
}

/// The counter fails: it rejects all calls, or does not reply. If requests were rejected until it is back,
/// its outage would affect every customer; if all were sent, a customer far over its quota would have no
/// quota at all. A customer that was not seen over its quota is served. Of a customer that was over it at
/// the counter's last reply, less than half is sent.
#[test]
fn counter_outage_restricts_only_customers_last_seen_over_quota() {
    for failure in [CounterBehaviour::Rejects, CounterBehaviour::Silent] {
        let mut fleet = counter_fleet(12, plan(2.0, 8.0));
        for step in 0..60 {
            fleet.submit(step % 12, |_| {});
            fleet.advance(30.0);
        }
        fleet.counter.behaviour = if failure == CounterBehaviour::Silent {
            |_| CounterBehaviour::Silent
        } else {
            |_| CounterBehaviour::Rejects
        };
        let before = fleet.sent_for(CUSTOMER);
        for step in 0..12 {
            fleet.submit(step, |r| r.customer = CustomerId(77));
            fleet.submit(step, |_| {});
            fleet.advance(10.0);
        }
        fleet.advance(200.0);
        assert_eq!(fleet.sent_for(77), 12, "it was not seen over its quota");
        let sent = fleet.sent_for(CUSTOMER) - before;
        assert!(sent < 6, "{sent}");
    }
}

/// An overloaded counter replies to few calls and still works through those that nobody waits for any longer.
/// If it were called for all requests of all gateways, it would reply to no call in time, and no quota would
/// be enforced. The gateways call it for a fraction of the requests, and each call also adds the units of the
/// requests that it represents. There are fewer calls than requests, and for the customer over its quota
/// fewer requests are sent than arrive. What a few gateways send for one customer depends on chance, so the
/// mean of twelve fleets is bounded too.
#[test]
fn samples_fewer_requests_at_an_overloaded_counter_and_still_limits_use() {
    let mut total_sent = 0;
    for seed in 0..12 {
        let mut fleet = counter_fleet_with_seed(20, plan(10.0, 20.0), seed);
        let count_calls_and_attempts = |fleet: &mut Fleet, steps: usize| {
            let (calls, sent) = (fleet.counter.calls, fleet.sent_for(CUSTOMER));
            for step in 0..steps {
                fleet.submit(step * 7 % 20, |_| {});
                fleet.submit(step * 3 % 20, |r| r.customer = CustomerId(1000 + step as u64));
                fleet.advance(50.0);
            }
            (fleet.counter.calls - calls, fleet.sent_for(CUSTOMER) - sent)
        };
        let (calls, _) = count_calls_and_attempts(&mut fleet, 200);
        // While the counter replies to all calls, it is called for every request whose customer is not
        // certainly over its quota, and again to correct the count of a rejected request. The 200 requests
        // of other customers are one for each, so that each needs a call.
        assert!(calls > 200, "{calls}");
        // From here on the counter replies only to the first three calls of each 100 ms.
        fleet.counter.behaviour =
            |call| if call <= 3 { CounterBehaviour::Replies } else { CounterBehaviour::Silent };
        count_calls_and_attempts(&mut fleet, 400);
        let (calls, sent) = count_calls_and_attempts(&mut fleet, 400);
        assert!(calls < 600, "{calls} calls for 800 requests");
        assert!((150..=360).contains(&sent), "{sent}");
        total_sent += sent;
    }
    // 20 s at 20 requests per second against a rate of 10, which allows 200; without the counter all 400
    // would have been sent.
    let mean = total_sent as f64 / 12.0;
    println!("{mean:.1} attempts on average");
    assert!(mean < 310.0, "{mean}");
}

/// A gateway in counter mode; the test sends it the counter's replies.
struct CountingGateway {
    gateway: SingleGateway,
}

/// A call to the counter: the name of a count and the units to add to it.
#[derive(Debug, Clone, Copy, PartialEq)]
struct CounterCall {
    name: u64,
    amount: f64,
}

impl CountingGateway {
    /// Creates a gateway of a fleet of twelve, which knows 40 endpoints.
    fn new(plan: PlanSettings) -> Self {
        let settings =
            Settings { peer_messages_allowed: false, counter_allowed: true, ..fleet_settings(12, plan) };
        let mut gateway = SingleGateway::new_without_endpoints(settings, SEED, 0.0);
        gateway.update_endpoints(warm_endpoints(40));
        CountingGateway { gateway }
    }

    /// Sends the gateway the outcome of a call.
    fn reply(&mut self, call: CounterCall, outcome: CounterOutcome) -> Vec<Action> {
        self.gateway.handle_event(Event::CounterReply { name: call.name, outcome })
    }
}

/// Returns the calls to the counter among these actions.
fn counter_calls(actions: &[Action]) -> Vec<CounterCall> {
    let call = |action: &Action| match *action {
        Action::AddToCounter { name, amount, .. } => Some(CounterCall { name, amount }),
        _ => None,
    };
    actions.iter().filter_map(call).collect()
}

/// Lets a gateway catch up a count that lags, while other gateways add `other_gateways_fraction` of the
/// catch-up's units to it. Returns the amounts of the calls that follow, as fractions of the catch-up.
fn calls_after_concurrent_catch_up(other_gateways_fraction: f64) -> Vec<f64> {
    let mut counting = CountingGateway::new(plan(2.0, 8.0));
    counting.gateway.now_ms = 45_000.0;
    let first = counter_calls(&counting.gateway.submit().actions);
    assert_eq!(first.iter().map(|call| call.amount).collect::<Vec<_>>(), [1.0]);
    let catch_up_calls = counter_calls(&counting.reply(first[0], CounterOutcome::Total(1.0)));
    assert_eq!(catch_up_calls.len(), 1, "the customer's tokens exceed the burst by far");
    let catch_up_units = catch_up_calls[0].amount;
    assert!(catch_up_units > 8.0, "more than a burst: {catch_up_units}");
    let total = 1.0 + catch_up_units + other_gateways_fraction * catch_up_units;
    let following = counter_calls(&counting.reply(catch_up_calls[0], CounterOutcome::Total(total)));
    following.iter().map(|call| call.amount / catch_up_units).collect()
}

/// Two gateways that see a count lag at the same time both catch it up. If neither took its units back, the
/// total would be too high, and the customer's requests would be rejected until the rate has made up for it.
/// What other gateways add for requests meanwhile is far less than a catch-up, so half a catch-up tells the
/// two cases apart: a gateway takes its units back if the others added more than that.
#[test]
fn catch_up_is_reverted_if_another_gateway_made_it_too() {
    for other_gateways_fraction in [0.0, 0.45, 0.49] {
        assert_eq!(calls_after_concurrent_catch_up(other_gateways_fraction), [], "{other_gateways_fraction}");
    }
    for other_gateways_fraction in [0.51, 0.55, 1.0] {
        assert_eq!(
            calls_after_concurrent_catch_up(other_gateways_fraction),
            [-1.0],
            "{other_gateways_fraction}"
        );
    }
}

/// The counter replies to no call. If the sampling fraction fell to 0, a gateway would never learn that
/// the counter replies again; if it did not fall, every request would first wait for a call in vain. One
/// request in twenty is sampled.
#[test]
fn samples_one_request_in_twenty_at_a_silent_counter() {
    const REQUESTS: usize = 20_000;
    let mut counting = CountingGateway::new(plan(2.0, 8.0));
    let mut calls = 0;
    // The first 200 requests lower the sampling fraction to its minimum.
    for n in 0..200 + REQUESTS {
        counting.gateway.now_ms += 5.0;
        counting.gateway.customer += 1;
        let mut actions = counting.gateway.submit().actions;
        for call in counter_calls(&actions) {
            calls += usize::from(n >= 200);
            actions.extend(counting.reply(call, CounterOutcome::Unanswered));
        }
        for sent in sent_attempts(&actions) {
            counting.gateway.end_attempt(sent, 0, Outcome::Ok, 5.0);
        }
    }
    // A twentieth of 20,000 is 1000, with a standard deviation of 31.
    assert!((900..=1100).contains(&calls), "{calls} of {REQUESTS}");
}
