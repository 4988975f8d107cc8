//! Which queued request is dispatched next, and how flows are weighted.
use super::{is_close, plan};
use crate::id::{CustomerTag, RequestId};
use crate::mechanism::virtual_finish_queue::FlowHead;
use crate::policy::queue::dispatch_order::{
    earlier_head, judge_head_in_broadcast_mode, judge_head_in_large_fleet, may_send_over_quota, HeadDecision,
};
use crate::policy::queue::flow_weight::{
    flow_weight, queue_size_in_broadcast_mode, queue_size_in_large_fleet,
};
use crate::settings::PlanSettings;
use crate::state::{BandPosition, QuotaDecision};

#[test]
fn heads_are_judged_by_quota_and_in_a_large_fleet_by_credit() {
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
            HeadDecision::AwaitsQuota,
            HeadDecision::AwaitsQuota,
        ),
        (
            QuotaDecision::OverQuota,
            BandPosition::BelowLowerBound,
            HeadDecision::OverQuota,
            HeadDecision::OverQuota,
        ),
    ];
    for (quota, position, in_broadcast_mode, in_large_fleet) in cases {
        assert_eq!(judge_head_in_broadcast_mode(quota), in_broadcast_mode);
        assert_eq!(judge_head_in_large_fleet(quota, || position), in_large_fleet, "{quota:?}");
    }
}

#[test]
fn the_smallest_virtual_finish_is_first_and_of_two_alike_the_first_seen() {
    let head = |id, virtual_finish| FlowHead { tag: CustomerTag(id), id: RequestId(id), virtual_finish };
    let next = |seen, other| earlier_head(seen, other).id;
    assert_eq!(next(None, head(1, 5.0)), RequestId(1));
    assert_eq!(next(Some(head(1, 5.0)), head(2, 4.0)), RequestId(2));
    assert_eq!(next(Some(head(1, 5.0)), head(2, 5.0)), RequestId(1));
}

#[test]
fn over_quota_requests_are_sent_only_where_the_plan_pays_and_the_stock_is_low() {
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
fn flows_weigh_by_the_rate_or_by_what_their_slots_can_do() {
    let cases = [
        (PlanSettings { plan_weight: 2.0, ..plan() }, 20.0),
        (PlanSettings { plan_weight: 0.0, ..plan() }, 0.1),
        // 3 slots of 200 ms each serve 15 requests a second.
        (PlanSettings { rate_per_second: 0.0, open_limit: 3, ..plan() }, 15.0),
        (PlanSettings { rate_per_second: 0.0, ..plan() }, 5.0),
    ];
    for (plan, weight) in cases {
        assert!(is_close(flow_weight(&plan, 200.0), weight), "{plan:?}");
    }
}

#[test]
fn queue_sizes_count_priority_in_a_large_fleet_only() {
    assert_eq!(queue_size_in_broadcast_mode(3.0), 3.0);
    assert_eq!((queue_size_in_large_fleet(3.0, 2.0), queue_size_in_large_fleet(3.0, 0.0)), (1.5, 300.0));
}
