//! The decision whether a new request is sent, queued or rejected.
use crate::policy::admission::deadline::RequestTimes;
use crate::policy::admission::new_request::{
    admit_in_broadcast_mode, admit_in_large_fleet, lacks_only_ceiling_units, queue_or_reject,
    reject_if_too_late, Admission, BroadcastAdmissionInput, LargeFleetAdmissionInput,
};
use crate::policy::queue::customer_limits::LimitDecision;
use crate::state::{BandPosition, LocalBucketCheck};

const REJECTED: Admission = Admission::Reject { retry_after_ms: Some(70.0) };

/// A request within its quota, while the fleet's attempts in flight are under both bounds.
const ADMITTED: BroadcastAdmissionInput = BroadcastAdmissionInput {
    quota: LocalBucketCheck { is_within_quota: true, may_exceed: false, retry_after_ms: Some(70.0) },
    limits: LimitDecision::Admit,
    band: BandPosition::BelowLowerBound,
    queue_is_blocked: false,
    queued_requests: 3999,
};

/// The times of a request with `time_left_ms` left, in a class with a mean response time of 100 ms.
fn times(time_left_ms: f64) -> RequestTimes {
    RequestTimes {
        now_ms: 0.0,
        objective_at_ms: time_left_ms,
        deadline_at_ms: 3000.0,
        tick_ms: 2.0,
        class_response_ms: 100.0,
        endpoints_loaded: false,
    }
}

#[test]
fn request_within_quota_is_sent_under_the_upper_bound() {
    let cases = [
        (ADMITTED, Admission::Send),
        (BroadcastAdmissionInput { band: BandPosition::BetweenBounds, ..ADMITTED }, Admission::Send),
        (BroadcastAdmissionInput { band: BandPosition::AtOrAboveUpperBound, ..ADMITTED }, Admission::Queue),
        (BroadcastAdmissionInput { limits: LimitDecision::WaitForSlot, ..ADMITTED }, Admission::Queue),
        (BroadcastAdmissionInput { queue_is_blocked: true, ..ADMITTED }, Admission::Queue),
        (BroadcastAdmissionInput { queue_is_blocked: true, queued_requests: 4000, ..ADMITTED }, REJECTED),
    ];
    for (input, expected) in cases {
        assert_eq!(admit_in_broadcast_mode(&input), expected, "{input:?}");
    }
}

#[test]
fn request_over_quota_is_sent_under_the_lower_bound_if_the_plan_allows() {
    let over = LocalBucketCheck { is_within_quota: false, ..ADMITTED.quota };
    let allowed = LocalBucketCheck { may_exceed: true, ..over };
    // The customer's limits apply only to a request within the quota.
    let limits = LimitDecision::WaitForSlot;
    let cases = [
        (BroadcastAdmissionInput { quota: over, ..ADMITTED }, REJECTED),
        (BroadcastAdmissionInput { quota: allowed, limits, ..ADMITTED }, Admission::Send),
        (BroadcastAdmissionInput { quota: allowed, band: BandPosition::BetweenBounds, ..ADMITTED }, REJECTED),
        (BroadcastAdmissionInput { quota: allowed, queue_is_blocked: true, ..ADMITTED }, REJECTED),
    ];
    for (input, expected) in cases {
        assert_eq!(admit_in_broadcast_mode(&input), expected, "{input:?}");
    }
}

#[test]
fn request_not_sent_is_queued_only_within_quota_and_below_4000() {
    let over = LocalBucketCheck { is_within_quota: false, may_exceed: true, ..ADMITTED.quota };
    assert_eq!(queue_or_reject(&ADMITTED), Admission::Queue);
    assert_eq!(queue_or_reject(&BroadcastAdmissionInput { queued_requests: 4000, ..ADMITTED }), REJECTED);
    assert_eq!(queue_or_reject(&BroadcastAdmissionInput { quota: over, ..ADMITTED }), REJECTED);
}

#[test]
fn ceiling_units_are_requested_if_nothing_else_is_lacking() {
    let lacking = BroadcastAdmissionInput { limits: LimitDecision::WaitForCeiling, ..ADMITTED };
    let over = LocalBucketCheck { is_within_quota: false, may_exceed: true, ..ADMITTED.quota };
    let cases = [
        (ADMITTED, false),
        (lacking, true),
        (BroadcastAdmissionInput { band: BandPosition::AtOrAboveUpperBound, ..lacking }, false),
        (BroadcastAdmissionInput { quota: over, ..lacking }, false),
    ];
    for (input, expected) in cases {
        assert_eq!(lacks_only_ceiling_units(&input), expected, "{input:?}");
    }
}

#[test]
fn late_requests_are_rejected_and_a_large_fleet_queues_the_others() {
    let overloaded = Admission::Reject { retry_after_ms: Some(1000.0) };
    assert_eq!(reject_if_too_late(&times(79.0), 1000.0), Some(overloaded));
    assert_eq!(reject_if_too_late(&times(80.0), 1000.0), None);
    let cases = [(79.0, 0, overloaded), (80.0, 3999, Admission::Queue), (80.0, 4000, overloaded)];
    for (time_left_ms, queued_requests, expected) in cases {
        let input = LargeFleetAdmissionInput {
            times: times(time_left_ms),
            queued_requests,
            max_retry_after_ms: 1000.0,
        };
        assert_eq!(admit_in_large_fleet(&input), expected, "{input:?}");
    }
}
