//! Requests that come too late or are overdue, and the time that a client has already waited.
use crate::policy::admission::deadline::{is_overdue, RequestTimes};
use crate::policy::admission::elapsed_wait::{already_waited_ms, TimeBudgetInput};
use crate::policy::admission::retry_after::{
    retry_after_over_quota_in_broadcast_mode, retry_after_over_quota_in_large_fleet, retry_after_overdue,
    retry_after_overload,
};

/// A request 500 ms before its latency objective and 2,000 ms before its deadline, in a class with a mean
/// response time of 200 ms. The current time is 1,000 ms.
const TIMES: RequestTimes = RequestTimes {
    now_ms: 1000.0,
    objective_at_ms: 1500.0,
    deadline_at_ms: 3000.0,
    tick_ms: 2.0,
    class_response_ms: 200.0,
    endpoints_loaded: false,
};

#[test]
fn time_to_respond_ends_at_objective_or_last_upkeep_before_deadline() {
    assert_eq!(TIMES.time_left_to_respond_ms(), 500.0);
    // 400 ms less 20 ms for a round of upkeep and 4 ms for two ticks.
    assert_eq!(RequestTimes { deadline_at_ms: 1400.0, ..TIMES }.time_left_to_respond_ms(), 376.0);
}

#[test]
fn too_late_begins_earlier_while_the_endpoints_are_loaded() {
    // The limit is 0.8 mean response times, 160 ms, or 2.5 while the endpoints are loaded, 500 ms.
    let cases = [(160.0, false, false), (159.0, false, true), (500.0, true, false), (499.0, true, true)];
    for (left_ms, endpoints_loaded, too_late) in cases {
        let times = RequestTimes { objective_at_ms: 1000.0 + left_ms, endpoints_loaded, ..TIMES };
        assert_eq!(times.is_too_late(), too_late, "{left_ms} ms left, loaded: {endpoints_loaded}");
    }
}

#[test]
fn request_is_overdue_near_the_deadline_or_if_unsent_and_too_late() {
    let late = RequestTimes { objective_at_ms: 1100.0, ..TIMES };
    let cases = [(TIMES, true, false), (late, true, true), (late, false, false)];
    for (times, is_unsent, overdue) in cases {
        assert_eq!(is_overdue(&times, is_unsent), overdue, "{times:?}");
    }
    for (deadline_at_ms, overdue) in [(1024.0, false), (1023.0, true)] {
        assert_eq!(is_overdue(&RequestTimes { deadline_at_ms, ..late }, false), overdue, "{deadline_at_ms}");
    }
}

#[test]
fn small_time_budget_shows_an_earlier_wait_once_votes_suffice() {
    let cases = [
        (None, 1900.0, 0.0),
        (Some(9), 1900.0, 0.0),
        (Some(10), 1900.0, 1100.0),
        // A budget of at most the latency objective is that of an impatient client's first request.
        (Some(10), 1000.0, 0.0),
        (Some(10), 4000.0, 0.0),
    ];
    for (votes_for_another_budget, time_left_ms, expected_ms) in cases {
        let input = TimeBudgetInput {
            time_left_ms,
            votes_for_another_budget,
            latency_objective_ms: 1000.0,
            deadline_ms: 3000.0,
        };
        assert_eq!(already_waited_ms(&input), expected_ms, "{input:?}");
    }
}

#[test]
fn no_retry_after_if_sent_or_queued_over_quota_in_broadcast_mode() {
    assert_eq!((retry_after_overload(1000.0), retry_after_overload(0.0)), (Some(1000.0), None));
    assert_eq!((retry_after_overdue(true, 1000.0), retry_after_overdue(false, 1000.0)), (Some(1000.0), None));
    assert_eq!(retry_after_over_quota_in_broadcast_mode(), None);
    assert_eq!(retry_after_over_quota_in_large_fleet(1000.0), Some(1000.0));
}
