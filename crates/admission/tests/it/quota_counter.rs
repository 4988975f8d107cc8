//! Quotas of a fleet whose gateways may not send each other messages and count at a shared counter.
use crate::common::*;
use irishinge_admission::*;

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

/// A count that nobody raised would have saved up what the rate filled in all that time; two that raise it at once
/// must not lock the customer out.
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
        // And it goes on at its rate.
        for step in 0..50 {
            fleet.submit(step * 7 % 120, |_| {});
            fleet.advance(200.0);
        }
        let sent = fleet.sent_for(CUSTOMER) - before;
        assert!((24..=33).contains(&sent), "{sent} with 10 s of requests");
    }
}

#[test]
fn gives_back_the_units_of_requests_that_were_never_sent() {
    let mut fleet = counter_fleet(120, plan(2.0, 8.0));
    for me in 0..40 {
        let request = fleet.submit(me, |r| r.units = 2.0);
        if me % 4 > 0 {
            // Its client leaves before the counter has answered.
            fleet.event(me, Event::ClientGone { request });
        }
        fleet.advance(1000.0);
    }
    // A request of 2 units every 4 s: half the rate. The others' are given back.
    assert_eq!(fleet.sent_for(CUSTOMER), 10);
    assert!(fleet.rejected.is_empty(), "{:?}", fleet.rejected);
}

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

/// A counter works through calls that nobody waits for any more: with all requests of all gateways it would answer
/// nobody. What a few gateways send for one customer hangs on chance, so that the mean of a dozen fleets counts.
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
            |call| if call <= 3 { CounterBehaviour::Answers } else { CounterBehaviour::Silent };
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
