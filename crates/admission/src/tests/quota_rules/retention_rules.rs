//! The time for which a gateway retains the records of idle customers.
use crate::policy::customer_retention::{idle_limit_ms, is_evicted};
use crate::settings::PlanSettings;
use crate::tests::plan_builder::quota_plan;

/// An evicted customer returns with a full quota, and one with a ceiling would exceed it.
#[test]
fn idle_customers_are_retained_until_quota_is_full_or_table_is_large() {
    let slow = quota_plan(0.1, 10.0);
    let fast = quota_plan(10.0, 40.0);
    let ceiling = PlanSettings { ceiling_rate_per_second: 1.0, ..quota_plan(0.1, 10.0) };
    // Plan, number of customers, limit in ms: twice the time to fill the quota, but at least 30 s, or 2 s
    // above 50,000 customers.
    let cases = [
        (Some(&slow), 50_000, 200_000.0),
        (Some(&fast), 1, 30_000.0),
        (None, 1, 30_000.0),
        (Some(&quota_plan(0.0, 40.0)), 1, 30_000.0),
        (Some(&slow), 50_001, 2_000.0),
        (None, 50_001, 2_000.0),
        (Some(&ceiling), 50_001, 200_000.0),
    ];
    for (plan, customers, expected) in cases {
        assert_eq!(idle_limit_ms(plan, customers), expected, "{plan:?} {customers}");
    }
}

#[test]
fn customer_with_attempts_in_flight_is_not_evicted() {
    let cases = [(0, 29_999.0, false), (0, 30_000.0, true), (1, 90_000.0, false)];
    for (in_flight, idle_ms, expected) in cases {
        assert_eq!(is_evicted(in_flight, idle_ms, 30_000.0), expected, "{in_flight} {idle_ms}");
    }
}
