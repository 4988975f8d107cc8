//! The deadlines of calls, and the response to one that has none when its time is over.
use crate::dispatcher::request_deadlines::{response_without_result, CallDeadlines};
use crate::dispatcher::FinalResponse;
use std::time::Duration;
use tokio::time::Instant;

#[test]
fn the_dispatcher_responds_itself_shortly_before_the_deadline() {
    let now = Instant::now();
    for (time_left_ms, guard_ms) in [(1000.0, 995), (5.0, 0), (2.0, 0), (0.0, 0)] {
        let guard = CallDeadlines::new(now, time_left_ms).guard();
        assert_eq!(guard, now + Duration::from_millis(guard_ms), "{time_left_ms} ms");
    }
}

#[test]
fn an_attempt_ends_with_its_timeout_but_never_after_the_call() {
    let now = Instant::now();
    let deadlines = CallDeadlines::new(now, 1000.0);
    let after_ms = |ms| now + Duration::from_millis(ms);
    let cases = [(0, 300.0, 300), (600, 300.0, 900), (800, 300.0, 1000), (800, 1.0, 801)];
    for (sent_after_ms, timeout_ms, ends_after_ms) in cases {
        let ends_at = deadlines.attempt_deadline(after_ms(sent_after_ms), timeout_ms);
        assert_eq!(ends_at, after_ms(ends_after_ms), "sent after {sent_after_ms} ms for {timeout_ms} ms");
    }
}

/// A client that reads a rejection may send its request again. If it had an attempt, that could run twice.
#[test]
fn a_call_without_a_result_is_rejected_only_if_it_was_never_attempted() {
    assert!(matches!(response_without_result(false), FinalResponse::Rejected { retry_after_ms: None }));
    assert!(matches!(response_without_result(true), FinalResponse::Failed));
}
