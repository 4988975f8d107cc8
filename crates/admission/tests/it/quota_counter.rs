//! Quotas of a fleet whose gateways may not send each other messages and count at a shared counter.
use crate::common::*;
use irishinge_admission::*;

/// Requests of one customer come at 120 gateways, at five times its rate, and the gateways may not send each
/// other messages. If each applied the quota to its own requests alone, all would be sent. Counted at the
/// shared counter, no more are sent than the rate and one burst allow, and what the count may lie behind.
#[test]
fn holds_the_quota() {
    let mut fleet = counter_fleet(120, plan(2.0, 8.0));
    for step in 0..200 {
        fleet.submit(step * 17 % 120, |_| {});
        fleet.advance(100.0);
    }
    // 20 seconds at 10 a second against 2 a second and 8 at once, and what a count may lie behind.
    let sent = fleet.sent_for(CUSTOMER);
    assert!((40..=51).contains(&sent), "{sent}");
}

/// A customer comes back after a while, at thirty gateways within 100 ms. A count that nobody raised would
/// have saved up what the rate filled in all that time, and the customer would have many bursts. If two
/// gateways that raise it at once both left their raise, the count would run ahead and lock the customer out.
/// It has one burst, and its rate afterwards.
#[test]
fn an_idle_customer_has_one_burst_however_many_gateways_see_it_first() {
    let mut fleet = counter_fleet(120, plan(2.0, 8.0));
    for (wait_ms, expected) in [(1000.0, 8..=12), (20_000.0, 8..=12), (20_000.0, 8..=12)] {
        fleet.advance(wait_ms);
        let before = fleet.sent_for(CUSTOMER);
        for me in 0..30 {
            fleet.submit(me * 3, |_| {});
            fleet.advance(3.0);
        }
        fleet.advance(200.0);
        let sent = fleet.sent_for(CUSTOMER) - before;
        assert!(expected.contains(&sent), "{sent} after {wait_ms} ms");
        // Afterwards it is sent at its rate.
        for step in 0..50 {
            fleet.submit(step * 7 % 120, |_| {});
            fleet.advance(200.0);
        }
        let sent = fleet.sent_for(CUSTOMER) - before;
        assert!((24..=33).contains(&sent), "{sent} with 10 s of requests");
    }
}

/// Three clients of four disconnect before the counter has replied, when the units of their requests are
/// counted already. If these units were not given back, requests that were never sent would use up the quota,
/// and the customer would be rejected at half its rate. All other requests are sent, and none is rejected.
#[test]
fn gives_back_the_units_of_requests_that_were_never_sent() {
    let mut fleet = counter_fleet(120, plan(2.0, 8.0));
    for me in 0..40 {
        let request = fleet.submit(me, |r| r.units = 2.0);
        if me % 4 > 0 {
            // Its client disconnects before the counter has replied.
            fleet.handle_event(me, Event::ClientDisconnected { request });
        }
        fleet.advance(1000.0);
    }
    // A request of 2 units every 4 s: half the rate. The others' units are given back.
    assert_eq!(fleet.sent_for(CUSTOMER), 10);
    assert!(fleet.rejected.is_empty(), "{:?}", fleet.rejected);
}

/// The counter is lost: it rejects all calls, or does not reply. If requests were rejected until it is back,
/// its outage would be everybody's; if all were sent, a customer far over its quota would have none. A
/// customer that was not seen over its quota is served; of one that was over it when the counter last
/// replied, less than half is sent.
#[test]
fn without_the_counter_serves_customers_except_those_just_seen_beyond_their_quota() {
    for lost in [CounterBehaviour::Rejects, CounterBehaviour::Silent] {
        let mut fleet = counter_fleet(12, plan(2.0, 8.0));
        for step in 0..60 {
            fleet.submit(step % 12, |_| {});
            fleet.advance(30.0);
        }
        fleet.counter.behaviour = if lost == CounterBehaviour::Silent {
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
        assert_eq!(fleet.sent_for(77), 12, "it was not seen beyond its quota");
        let sent = fleet.sent_for(CUSTOMER) - before;
        assert!(sent < 6, "{sent}");
    }
}

/// A slow counter works through calls that nobody waits for any more: called for all requests of all
/// gateways, it would reply to nobody in time, and no quota would be enforced. The gateways call it for a
/// fraction of the requests, and each call adds the units of the others too. There are fewer calls than
/// requests, and the customer over its quota is still sent less than it requests. What a few gateways send
/// for one customer depends on chance, so that the mean of a dozen fleets is bounded too.
#[test]
fn samples_fewer_requests_at_a_slow_counter_and_still_holds_the_quota() {
    let mut sent_in_all = 0;
    for seed in 0..12 {
        let mut fleet = counter_fleet_with_seed(20, plan(10.0, 20.0), seed);
        let calls_and_sends = |fleet: &mut Fleet, steps: usize| {
            let (calls, sent) = (fleet.counter.calls, fleet.sent_for(CUSTOMER));
            for step in 0..steps {
                fleet.submit(step * 7 % 20, |_| {});
                fleet.submit(step * 3 % 20, |r| r.customer = CustomerId(1000 + step as u64));
                fleet.advance(50.0);
            }
            (fleet.counter.calls - calls, fleet.sent_for(CUSTOMER) - sent)
        };
        let (calls, _) = calls_and_sends(&mut fleet, 200);
        assert!(calls > 200, "{calls}");
        // While it answers, all requests are counted; as much again comes on top for what was rejected.
        fleet.counter.behaviour =
            |call| if call <= 3 { CounterBehaviour::Replies } else { CounterBehaviour::Silent };
        calls_and_sends(&mut fleet, 400);
        let (calls, sent) = calls_and_sends(&mut fleet, 400);
        assert!(calls < 600, "{calls} calls for 800 requests");
        assert!((150..=360).contains(&sent), "{sent}");
        sent_in_all += sent;
    }
    // 20 s at 20 a second against 10 a second; without the counter all 400 would have been sent.
    let mean = sent_in_all as f64 / 12.0;
    println!("{mean:.1} on the mean");
    assert!(mean < 310.0, "{mean}");
}

/// One gateway of a fleet that counts at the shared counter, whose replies come from the test.
struct CountingGateway {
    gateway: SingleGateway,
}

/// A call to the counter.
#[derive(Debug, Clone, Copy, PartialEq)]
struct CounterCall {
    name: u64,
    amount: f64,
}

impl CountingGateway {
    fn new(plan: PlanSettings) -> Self {
        let settings =
            Settings { peer_messages_allowed: false, counter_allowed: true, ..fleet_settings(12, plan) };
        let mut gateway = SingleGateway::new_without_endpoints(settings, SEED, 0.0);
        gateway.update_endpoints(warm_endpoints(40));
        CountingGateway { gateway }
    }

    fn reply(&mut self, call: CounterCall, outcome: CounterOutcome) -> Vec<Action> {
        self.gateway.handle_event(Event::CounterReply { name: call.name, outcome })
    }
}

fn counter_calls(actions: &[Action]) -> Vec<CounterCall> {
    let call = |action: &Action| match *action {
        Action::AddToCounter { name, amount, .. } => Some(CounterCall { name, amount }),
        _ => None,
    };
    actions.iter().filter_map(call).collect()
}

/// A gateway raises a count that lies behind the clock and finds that others raised it meanwhile, by a fraction of what
/// it raised. Returns the amounts of the calls that follow, as fractions of the raise.
fn calls_after_a_raise_by_others_too(fraction_by_others: f64) -> Vec<f64> {
    let mut counting = CountingGateway::new(plan(2.0, 8.0));
    counting.gateway.now_ms = 45_000.0;
    let first = counter_calls(&counting.gateway.submit().actions);
    assert_eq!(first.iter().map(|call| call.amount).collect::<Vec<_>>(), [1.0]);
    let raised = counter_calls(&counting.reply(first[0], CounterOutcome::Total(1.0)));
    assert_eq!(raised.len(), 1, "the count is far behind the clock");
    let raise = raised[0].amount;
    assert!(raise > 8.0, "more than a burst: {raise}");
    let total = 1.0 + raise + fraction_by_others * raise;
    let following = counter_calls(&counting.reply(raised[0], CounterOutcome::Total(total)));
    following.iter().map(|call| call.amount / raise).collect()
}

/// Two gateways that find the count behind at once both raise it. If neither took its raise back, the count
/// would run ahead of the clock, and the customer would be rejected until the rate has caught up with it.
/// What others add for requests meanwhile is far less than a raise; half of one distinguishes the two.
#[test]
fn takes_its_raise_back_when_others_raised_the_count_by_more_than_half_as_much() {
    for fraction_by_others in [0.0, 0.45, 0.49] {
        assert_eq!(calls_after_a_raise_by_others_too(fraction_by_others), [], "{fraction_by_others}");
    }
    for fraction_by_others in [0.51, 0.55, 1.0] {
        assert_eq!(calls_after_a_raise_by_others_too(fraction_by_others), [-1.0], "{fraction_by_others}");
    }
}

/// The counter replies to no call. If the fraction of requests that it is called for fell to 0, a gateway
/// would never learn that it replies again; if it did not fall, every request would first wait for a call in
/// vain. One request in twenty is sampled.
#[test]
fn samples_one_request_in_twenty_at_a_silent_counter() {
    const REQUESTS: usize = 20_000;
    let mut counting = CountingGateway::new(plan(2.0, 8.0));
    let mut calls = 0;
    // The first 200 requests bring the sampling fraction down.
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
