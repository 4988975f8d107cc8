//! A customer's quota at one gateway: the token bucket, the correction by true units, and requests over
//! the quota.
use crate::common::*;
use irishinge_admission::*;

/// A customer has used up its burst and submits one more request. If it were sent, it would exceed the
/// quota; if it were rejected without a `Retry-After`, its client would retry too early, again and again.
/// It is rejected with the time until the bucket holds the request's units.
#[test]
fn rejection_over_quota_carries_the_time_until_the_bucket_refills() {
    let mut settings = broadcast_settings(Idempotency::Idempotent);
    settings.plans = vec![plan(2.0, 4.0)];
    let mut gateway = SingleGateway::new(settings, 10);
    // For its first second a gateway withholds a part of each burst.
    gateway.advance(1100.0);
    for _ in 0..4 {
        assert_eq!(gateway.submit().sent_attempts().len(), 1);
    }
    let Submitted { id, actions } = gateway.submit();
    assert_eq!(actions, vec![Action::Reject { request: id, retry_after_ms: Some(500.0) }]);
}

/// A customer whose plan pays for use over its quota has used up its burst. If its requests were rejected
/// while the endpoints have capacity, that use would be lost; if they were sent while requests within
/// their quotas are queued, they would take the capacity of these. They are sent while nothing is queued,
/// and not afterwards.
#[test]
fn plan_that_pays_over_quota_is_admitted_only_while_nothing_is_queued() {
    let mut settings = broadcast_settings(Idempotency::Idempotent);
    let pays_over_quota = PlanSettings { over_quota_value: 0.3, over_quota_cost: 0.0, ..plan(0.001, 2.0) };
    settings.plans = vec![pays_over_quota, plan(10.0, 40.0)];
    let mut gateway = SingleGateway::new(settings, 10);
    // For its first second a gateway withholds a part of each burst.
    gateway.advance(1100.0);
    let sent: usize = (0..5).map(|_| gateway.submit().sent_attempts().len()).sum();
    assert_eq!(sent, 5, "three of them over the quota");
    for _ in 0..40 {
        gateway.customer += 1;
        gateway.submit_with(|r| r.plan = PlanIndex(1));
    }
    gateway.customer = 1;
    assert!(gateway.submit().sent_attempts().is_empty());
}

/// An endpoint reports the units that a request really used. If the estimate were never corrected, the
/// bucket would drift away from the true use; if an impossible value were accepted, it would empty the
/// customer's bucket. Two units more than the estimate are taken from the bucket, and the impossible value
/// is ignored.
#[test]
fn settles_true_units_and_ignores_impossible_ones() {
    for (true_units, left) in [(4.0, 6), (1e300, 8)] {
        let mut settings = broadcast_settings(Idempotency::Idempotent);
        settings.plans = vec![plan(0.001, 10.0)];
        let mut gateway = SingleGateway::new(settings, 10);
        // For its first second a gateway withholds a part of each burst.
        gateway.advance(1100.0);
        let submitted = gateway.submit_with(|r| r.units = 2.0);
        let endpoint = submitted.sent_attempts()[0].endpoint;
        gateway.handle_event(Event::AttemptEnded(AttemptEnd {
            true_units: Some(true_units),
            ..attempt_end(submitted.id, 0, endpoint, Outcome::Ok, 50.0)
        }));
        assert_eq!(gateway.submit_60_and_count_sent(), left);
    }
}
