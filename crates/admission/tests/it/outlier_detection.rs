//! Endpoints that fail or do not respond are ejected, for all requests or for a class or plan, and used
//! again later.
use crate::common::*;
use irishinge_admission::*;

/// An endpoint that has not responded for 3 s, because it got no request, refuses a connection. If it stayed
/// in the selection, it would get its usual fraction of the requests, and each of them would need a retry.
/// If it were left out for good, it would not be used again after its recovery. It is ejected, and after its
/// backoff it gets one request at a time until it responds.
#[test]
fn ejected_endpoint_gets_one_request_at_a_time_after_its_backoff() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 4);
    // No endpoint responds in this time.
    gateway.advance(3000.0);
    let sent = gateway.submit().sent_attempts()[0];
    let failing = sent.endpoint;
    gateway.end_attempt(sent, 0, Outcome::ConnectFailed, 1.0);
    let attempts_at_failing =
        |actions: &[Action]| sent_attempts(actions).iter().filter(|a| a.endpoint == failing).count();
    assert_eq!(attempts_at_failing(&gateway.submit_as_new_customers(6)), 0);
    gateway.advance(900.0);
    let again = gateway.submit_as_new_customers(20);
    assert_eq!(attempts_at_failing(&again), 1, "one at a time until it responds");
}

/// A connection may break for reasons of its own, also at a healthy endpoint. If one break ejected the
/// endpoint and hedged everything in flight there, that would cost far more work than the break did. After
/// one or three breaks an endpoint that has just responded is still used. It is ejected after at most twelve
/// in a row: the loop ends as soon as an attempt goes to the other endpoint.
#[test]
fn endpoint_is_ejected_after_more_than_three_and_at_most_twelve_breaks() {
    for (max_breaks, ejected) in [(1, false), (3, false), (12, true)] {
        let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::NonIdempotent), 2);
        gateway.advance(3000.0);
        let first = gateway.submit().sent_attempts()[0];
        gateway.end_attempt(first, 0, Outcome::Ok, 50.0);
        let is_at_first_endpoint = |sent: &&SentAttempt| sent.endpoint == first.endpoint;
        let mut breaks = 0;
        while breaks < max_breaks {
            let Some(sent) = sent_attempts(&gateway.submit_as_new_customers(1)).pop() else { break };
            if !is_at_first_endpoint(&&sent) && ejected {
                break;
            }
            let breaking = is_at_first_endpoint(&&sent);
            breaks += usize::from(breaking);
            let outcome = if breaking { Outcome::Reset } else { Outcome::Ok };
            gateway.end_attempt(sent, 0, outcome, 50.0);
        }
        let later_attempts =
            sent_attempts(&gateway.submit_as_new_customers(6)).iter().filter(is_at_first_endpoint).count();
        assert_eq!(
            later_attempts == 0,
            ejected,
            "{later_attempts} attempts after {breaks} of at most {max_breaks} breaks"
        );
    }
}

/// Every endpoint refuses connections, as when the gateway's own network fails. If all of them were
/// ejected, nothing would be sent until their backoff is over, although the endpoints are not at fault. If
/// most endpoints look like outliers, the cause is taken to lie outside them, and requests are still sent.
#[test]
fn still_sends_when_all_endpoints_look_like_outliers() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 3);
    for n in 0..12 {
        gateway.customer = 100 + n;
        let (mut sent, mut attempt) = (gateway.submit().sent_attempts(), 0);
        while let Some(last) = sent.pop() {
            sent = sent_attempts(&gateway.end_attempt(last, attempt, Outcome::ConnectFailed, 1.0));
            attempt += 1;
        }
    }
    assert!(!sent_attempts(&gateway.advance(20.0)).is_empty());
}

/// Returns the fraction of these attempts that went to the first 16 endpoints.
fn fraction_for_first_16<'a>(attempts: impl Iterator<Item = &'a FleetAttempt>) -> f64 {
    let (at_first_16, all) = attempts.fold((0.0, 0.0), |(at_first_16, all), sent| {
        (at_first_16 + f64::from(u8::from(sent.endpoint.0 < 16)), all + 1.0)
    });
    at_first_16 / all
}

/// 16 of 40 endpoints reject the requests of one plan as overloaded and serve those of the other. If they
/// were ejected for both, the plan that they serve would lose them; if they were not ejected, they would
/// get requests of the first plan in vain. They get less than 0.3 of the first plan's attempts and more than
/// 0.3 of the other's.
#[test]
fn ejects_endpoints_overloaded_for_one_plan_only_for_that_plan() {
    let mut fleet = gossip_fleet(60, plan(1000.0, 4000.0));
    fleet.outcome =
        |_, plan, endpoint| if plan == 0 && endpoint.0 < 16 { Outcome::Overloaded } else { Outcome::Ok };
    for step in 0..2500 {
        fleet.submit(step * 17 % 60, |r| {
            (r.plan, r.customer) = (PlanIndex(step % 2), CustomerId(step as u64 % 98 + (5 << 40)));
        });
        fleet.advance(3.0);
    }
    let fraction =
        |plan: usize| fraction_for_first_16(fleet.sent.iter().filter(|s| s.plan == plan && s.at_ms > 4000.0));
    // The fraction is 16 / 40 = 0.4 if no endpoint is ejected.
    assert!(fraction(0) < 0.3 && fraction(1) > 0.3, "{} {}", fraction(0), fraction(1));
}

/// 16 of 40 endpoints let the requests of one class time out. They are ejected for this class as for a
/// plan: they get less than 0.3 of its attempts, and more than 0.3 of those of the other class.
#[test]
fn ejects_endpoints_that_fail_one_class_only_for_that_class() {
    let mut fleet = gossip_fleet(60, plan(1000.0, 4000.0));
    fleet.outcome =
        |class, _, endpoint| if class == 0 && endpoint.0 < 16 { Outcome::TimedOut } else { Outcome::Ok };
    for step in 0..2500 {
        fleet.submit(step * 17 % 60, |r| {
            (r.class, r.customer) = (ClassIndex(step % 2), CustomerId(step as u64 % 97 + (5 << 40)));
        });
        fleet.advance(3.0);
    }
    let fraction = |class: usize| {
        fraction_for_first_16(fleet.sent.iter().filter(|s| s.class == class && s.at_ms > 4500.0))
    };
    // The fraction is 16 / 40 = 0.4 if no endpoint is ejected.
    assert!(fraction(0) < 0.3 && fraction(1) > 0.3, "{} {}", fraction(0), fraction(1));
}

/// Submits 500 requests per second, each of a customer whose requests come through three gateways.
fn submit_through_three_gateways_each(fleet: &mut Fleet, steps: usize) {
    for step in 0..steps {
        let first = step * 37 % 100;
        fleet.submit((first + step % 3) % 100, |r| {
            (r.customer, r.gateway_count, r.first_gateway) =
                (CustomerId(first as u64 + (5 << 40)), 3, GatewayIndex(first));
        });
        fleet.advance(2.0);
    }
}

/// One endpoint of 40 does not respond. A gateway sends to it only every 8 s: by its own attempts alone it
/// would need many time-outs to notice, and so would each of the hundred gateways. They learn of it from
/// each other. After 5 s the endpoint gets less than a sixth of the attempts that another endpoint gets,
/// and still some, which would show its recovery.
#[test]
fn hundred_gateways_avoid_an_unresponsive_endpoint_within_5_s() {
    let mut fleet = Fleet::new(fleet_settings(100, plan(50.0, 400.0)), warm_endpoints(40));
    fleet.outcome = |_, _, endpoint| if endpoint == EndpointId(7) { Outcome::TimedOut } else { Outcome::Ok };
    submit_through_three_gateways_each(&mut fleet, 8000);
    let late =
        |endpoint: u64| fleet.sent.iter().filter(move |s| s.at_ms > 5000.0 && s.endpoint.0 == endpoint);
    let usual = (0..40).filter(|s| *s != 7).map(|s| late(s).count()).sum::<usize>() as f64 / 39.0;
    let unresponsive = late(7).count() as f64;
    assert!(
        usual > 50.0 && unresponsive < 0.17 * usual,
        "{unresponsive} attempts at the unresponsive endpoint, {usual} at another"
    );
    assert!(unresponsive > 0.0, "the unresponsive endpoint still gets some attempts");
}

/// All gateways are in one zone and prefer its two endpoints. Connections to these are refused for a
/// while, and accepted again later. Without ejection, requests would go to the failed zone first, each
/// with a failed attempt. If gateways never sent to it again, they would not notice its recovery and would
/// keep using remote endpoints. While the zone has failed it gets less than a quarter of the attempts, and
/// never none; after its recovery it gets most of them.
#[test]
fn avoids_a_failed_zone_and_returns_to_it_once_it_recovers() {
    let in_zones = |id| EndpointEntry { zone: ZoneIndex((id % 3) as usize), ..endpoint(id) };
    let mut fleet = Fleet::new(fleet_settings(100, plan(50.0, 400.0)), (0..6).map(in_zones).collect());
    // Lets the fleet run for 2 ms per step, with one request in each. Returns the fraction of the attempts
    // that went to zone 0, in which all gateways are.
    let run_and_get_local_fraction = |fleet: &mut Fleet, steps: usize| {
        let before = fleet.sent.len();
        submit_through_three_gateways_each(fleet, steps);
        let sent = &fleet.sent[before..];
        sent.iter().filter(|s| s.endpoint.0 % 3 == 0).count() as f64 / sent.len() as f64
    };
    run_and_get_local_fraction(&mut fleet, 1500);
    let healthy = run_and_get_local_fraction(&mut fleet, 400);
    fleet.outcome = |_, _, s| if s.0 % 3 == 0 { Outcome::ConnectFailed } else { Outcome::Ok };
    run_and_get_local_fraction(&mut fleet, 4000);
    let failed = run_and_get_local_fraction(&mut fleet, 1000);
    fleet.outcome = |_, _, _| Outcome::Ok;
    run_and_get_local_fraction(&mut fleet, 4000);
    let recovered = run_and_get_local_fraction(&mut fleet, 1000);
    assert!(healthy > 0.8, "{healthy} before the failure");
    assert!(failed < 0.25 && failed > 0.0, "{failed} during the failure: fewer, but never none");
    assert!(recovered > 0.6, "{recovered} after the recovery");
}
