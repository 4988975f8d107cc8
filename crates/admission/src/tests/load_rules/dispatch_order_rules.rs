//! Selection of the queued request that is dispatched next, and the weights of flows.
use super::{is_close, plan};
use crate::id::{CustomerKey, RequestId};
use crate::mechanism::virtual_finish_queue::FlowHead;
use crate::policy::queue::dispatch_order::{
    earlier_head, head_decision_in_broadcast_mode, head_decision_in_large_fleet, may_send_over_quota,
    HeadDecision,
};
use crate::policy::queue::flow_weight::{
    flow_weight, request_size_in_broadcast_mode, request_size_in_large_fleet,
};
use crate::settings::PlanSettings;
use crate::state::{BandPosition, QuotaDecision};

#[test]
fn head_needs_quota_and_in_a_large_fleet_also_credit() {
    let cases = [
        (QuotaDecision::Admit, BandPosition::BelowLowerBound, HeadDecision::Eligible, HeadDecision::Eligible),
        (
            QuotaDecision::Admit,
            BandPosition::AtOrAboveUpperBound,
            HeadDecision::Eligible,
            HeadDecision::BlockedByBand,
        ),
        (
            QuotaDecision::Wait,
            BandPosition::BelowLowerBound,
            HeadDecision::AwaitsCustomerLimit,
            HeadDecision::AwaitsCustomerLimit,
        ),
        (
            QuotaDecision::OverQuota,
            BandPosition::BelowLowerBound,
            HeadDecision::OverQuota,
            HeadDecision::OverQuota,
        ),
    ];
    for (quota, position, in_broadcast_mode, in_large_fleet) in cases {
        assert_eq!(head_decision_in_broadcast_mode(quota), in_broadcast_mode);
        assert_eq!(head_decision_in_large_fleet(quota, || position), in_large_fleet, "{quota:?}");
    }
}

#[test]
fn smallest_virtual_finish_is_dispatched_first_and_a_tie_keeps_the_order() {
    let head = |id, virtual_finish| FlowHead { key: CustomerKey(id), id: RequestId(id), virtual_finish };
    let next = |earliest, other| earlier_head(earliest, other).id;
    assert_eq!(next(None, head(1, 5.0)), RequestId(1));
    assert_eq!(next(Some(head(1, 5.0)), head(2, 4.0)), RequestId(2));
    assert_eq!(next(Some(head(1, 5.0)), head(2, 5.0)), RequestId(1));
}

/// A queued request that is over its quota is sent only if it may exceed the quota, and only while the band
/// is under its lower bound.
#[test]
fn request_over_quota_is_sent_only_if_permitted_and_below_lower_bound() {
    let cases = [
        (true, BandPosition::BelowLowerBound, true),
        (true, BandPosition::BetweenBounds, false),
        (false, BandPosition::BelowLowerBound, false),
    ];
    for (may_exceed, position, sent) in cases {
        assert_eq!(may_send_over_quota(may_exceed, || position), sent);
    }
}

#[test]
fn flow_weight_follows_the_rate_or_the_throughput_of_the_slots() {
    let cases = [
        (PlanSettings { plan_weight: 2.0, ..plan() }, 20.0),
        (PlanSettings { plan_weight: 0.0, ..plan() }, 0.1),
        // 3 slots serve 15 requests per second at a mean response time of 200 ms.
        (PlanSettings { rate_per_second: 0.0, concurrency_limit: 3, ..plan() }, 15.0),
        (PlanSettings { rate_per_second: 0.0, ..plan() }, 5.0),
    ];
    for (plan, weight) in cases {
        assert!(is_close(flow_weight(&plan, 200.0), weight), "{plan:?}");
    }
}

#[test]
fn request_size_depends_on_priority_in_a_large_fleet_only() {
    assert_eq!(request_size_in_broadcast_mode(3.0), 3.0);
    assert_eq!((request_size_in_large_fleet(3.0, 2.0), request_size_in_large_fleet(3.0, 0.0)), (1.5, 300.0));
}
