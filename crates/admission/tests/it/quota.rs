//! The quota on a customer's rate at one gateway: its token bucket, true units, and what may be sent over it.
use crate::common::*;
use irishinge_admission::*;

/// A customer has used up its burst and submits one more request. Sent, it would exceed the quota; rejected
/// without advice, its client would come back too soon, again and again. It is rejected with the time until
/// the bucket has the request's units.
#[test]
fn rejects_beyond_the_quota_with_the_time_until_the_bucket_holds_the_units() {
    let mut settings = broadcast_settings(Idempotency::Idempotent);
    settings.plans = vec![plan(2.0, 4.0)];
    let mut gateway = SingleGateway::new(settings, 10);
    gateway.advance(1100.0);
    for _ in 0..4 {
        assert_eq!(gateway.submit().sent_attempts().len(), 1);
    }
    let Submitted { id, actions } = gateway.submit();
    assert_eq!(actions, vec![Action::Reject { request: id, retry_after_ms: Some(500.0) }]);
}

/// A customer of a plan that pays for use over its quota has used up its burst. Rejected while the endpoints
/// have capacity, that use would be lost; sent while requests within their quotas are queued, it would take
/// their capacity. It is sent while nothing is queued, and not afterwards.
#[test]
fn admits_soft_plans_beyond_the_quota_only_while_nothing_is_queued() {
    let mut settings = broadcast_settings(Idempotency::Idempotent);
    let soft = PlanSettings { over_quota_value: 0.3, over_quota_cost: 0.0, ..plan(0.001, 2.0) };
    settings.plans = vec![soft, plan(10.0, 40.0)];
    let mut gateway = SingleGateway::new(settings, 10);
    gateway.advance(1100.0);
    let sent: usize = (0..5).map(|_| gateway.submit().sent_attempts().len()).sum();
    assert_eq!(sent, 5, "three of them beyond the quota");
    for _ in 0..40 {
        gateway.customer += 1;
        gateway.submit_with(|r| r.plan = PlanIndex(1));
    }
    gateway.customer = 1;
    assert!(gateway.submit().sent_attempts().is_empty());
}

/// An endpoint reports the units that a request really used. If the estimate counted for good, the bucket
/// would drift away from the true use; if a figure that no request can have were believed, it would empty the
/// customer's bucket. Two more units than estimated are taken from the bucket, and the impossible figure is
/// ignored.
#[test]
fn settles_true_units_and_ignores_impossible_ones() {
    for (true_units, left) in [(4.0, 6), (1e300, 8)] {
        let mut settings = broadcast_settings(Idempotency::Idempotent);
        settings.plans = vec![plan(0.001, 10.0)];
        let mut gateway = SingleGateway::new(settings, 10);
        gateway.advance(1100.0);
        let submitted = gateway.submit_with(|r| r.units = 2.0);
        let endpoint = submitted.sent_attempts()[0].endpoint;
        gateway.handle_event(Event::AttemptEnded(AttemptEnd {
            true_units: Some(true_units),
            ..attempt_end(submitted.id, 0, endpoint, Outcome::Ok, 50.0)
        }));
        assert_eq!(gateway.admitted_at_once(), left);
    }
}
