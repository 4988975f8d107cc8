//! Checks of a new request against its customer's token bucket at a gateway.
use super::plan;
use crate::policy::admission::local_bucket::{check_local_bucket, withheld_burst_units, LocalBucketInput};
use crate::settings::PlanSettings;

/// A request of 2 units, exactly as many as queued requests and peers leave of the 10 in the bucket.
fn input(plan: &PlanSettings) -> LocalBucketInput<'_> {
    LocalBucketInput {
        plan,
        units: 2.0,
        quota_tokens: 10.0,
        ceiling_tokens: 1.0,
        queued_units: 5.0,
        withheld_units: 3.0,
    }
}

#[test]
fn queued_requests_and_peers_reduce_the_available_units() {
    let plan = plan();
    assert!(check_local_bucket(&input(&plan)).is_within_quota);
    let short = check_local_bucket(&LocalBucketInput { queued_units: 6.0, ..input(&plan) });
    // One unit is lacking, and the bucket fills at 10 units per second.
    assert_eq!((short.is_within_quota, short.retry_after_ms), (false, Some(100.0)));
}

#[test]
fn plan_without_a_rate_is_unlimited_and_gives_no_retry_after() {
    let plan = PlanSettings { rate_per_second: 0.0, ..plan() };
    let check = check_local_bucket(&LocalBucketInput { quota_tokens: 0.0, ..input(&plan) });
    assert_eq!((check.is_within_quota, check.retry_after_ms), (true, None));
}

#[test]
fn quota_may_be_exceeded_if_the_plan_allows_it_and_the_ceiling_permits() {
    let allowing = PlanSettings { over_quota_value: 2.0, ..plan() };
    let with_ceiling = PlanSettings { ceiling_rate_per_second: 1.0, ..allowing.clone() };
    for (plan, units, may_exceed) in [
        (&plan(), 1.0, false),
        (&allowing, 2.0, true),
        (&with_ceiling, 1.0, true),
        (&with_ceiling, 2.0, false),
    ] {
        let check = check_local_bucket(&LocalBucketInput { units, ..input(plan) });
        assert_eq!(check.may_exceed, may_exceed, "{units} units of {plan:?}");
    }
}

#[test]
fn burst_fraction_of_peers_is_withheld_for_a_second_after_the_start() {
    for (gateways, since_start_ms, withheld) in [(4, 999.0, 30.0), (4, 1000.0, 0.0), (1, 0.0, 0.0)] {
        assert_eq!(withheld_burst_units(40.0, gateways, since_start_ms), withheld, "{gateways}");
    }
}
