//! The decision whether a customer's quota, concurrency limit and ceiling permit a request.
use super::plan;
use crate::policy::queue::customer_limits::{check_customer_limits, LimitDecision, LimitInput, SlotUse};
use crate::settings::PlanSettings;
use crate::state::QuotaDecision;

/// A request of one unit, of a customer with one unit in each bucket.
fn input(plan: &PlanSettings) -> LimitInput<'_> {
    LimitInput {
        plan,
        units: 1.0,
        local_bucket_decides: true,
        quota_tokens: 1.0,
        ceiling_tokens: 1.0,
        slots: None,
    }
}

#[test]
fn quota_is_checked_only_if_the_local_bucket_decides() {
    let plan = plan();
    let unlimited = PlanSettings { rate_per_second: 0.0, ..plan.clone() };
    let short = LimitInput { quota_tokens: 0.9, ..input(&plan) };
    assert_eq!(check_customer_limits(&input(&plan)), LimitDecision::Admit);
    assert_eq!(check_customer_limits(&short), LimitDecision::OverQuota);
    let elsewhere = LimitInput { local_bucket_decides: false, ..short };
    assert_eq!(check_customer_limits(&elsewhere), LimitDecision::Admit);
    assert_eq!(check_customer_limits(&LimitInput { plan: &unlimited, ..short }), LimitDecision::Admit);
}

#[test]
fn ceiling_is_checked_last() {
    let plan = PlanSettings { ceiling_rate_per_second: 5.0, concurrency_limit: 1, ..plan() };
    let without_ceiling = PlanSettings { ceiling_rate_per_second: 0.0, ..plan.clone() };
    let short = LimitInput { ceiling_tokens: 0.9, ..input(&plan) };
    assert_eq!(check_customer_limits(&short), LimitDecision::WaitForCeiling);
    assert_eq!(check_customer_limits(&input(&plan)), LimitDecision::Admit);
    assert_eq!(check_customer_limits(&LimitInput { plan: &without_ceiling, ..short }), LimitDecision::Admit);
    let slots = Some(SlotUse {
        in_flight: 1,
        peer_in_flight: 0,
        reporting_peers: 0,
        gateways: 1,
        gateway_position: 0,
    });
    assert_eq!(check_customer_limits(&LimitInput { slots, ..short }), LimitDecision::WaitForSlot);
}

/// With a limit of 4 and 3 gateways, each gateway has one slot of its own. With a limit of 2 and 8 gateways,
/// the first 3 positions have one: 4/3 gateways per slot, rounded up.
#[test]
fn concurrency_limit_counts_unreported_attempts_once_own_slots_are_used() {
    let cases = [
        (4, 3, 2, [0, 3, 2], LimitDecision::Admit),
        (4, 3, 2, [0, 4, 2], LimitDecision::WaitForSlot),
        (4, 3, 2, [1, 1, 1], LimitDecision::Admit),
        (4, 3, 2, [1, 1, 2], LimitDecision::WaitForSlot),
        (2, 8, 2, [0, 1, 1], LimitDecision::Admit),
        (2, 8, 3, [0, 1, 1], LimitDecision::WaitForSlot),
        (2, 8, 3, [0, 1, 0], LimitDecision::Admit),
        (0, 8, 3, [9, 9, 9], LimitDecision::Admit),
    ];
    for (
        concurrency_limit,
        gateways,
        gateway_position,
        [in_flight, peer_in_flight, reporting_peers],
        expected,
    ) in cases
    {
        let plan = PlanSettings { concurrency_limit, ..plan() };
        let slots = SlotUse { in_flight, peer_in_flight, reporting_peers, gateways, gateway_position };
        let decision = check_customer_limits(&LimitInput { slots: Some(slots), ..input(&plan) });
        assert_eq!(decision, expected, "limit {concurrency_limit}, {slots:?}");
    }
}

#[test]
fn queued_request_waits_if_a_slot_or_ceiling_units_are_lacking() {
    let cases = [
        (LimitDecision::Admit, QuotaDecision::Admit),
        (LimitDecision::OverQuota, QuotaDecision::OverQuota),
        (LimitDecision::WaitForSlot, QuotaDecision::Wait),
        (LimitDecision::WaitForCeiling, QuotaDecision::Wait),
    ];
    for (limits, decision) in cases {
        assert_eq!(limits.quota_decision(), decision);
    }
}
