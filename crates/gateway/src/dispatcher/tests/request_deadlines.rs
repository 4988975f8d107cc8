//! Tests of the deadlines of requests and of the fallback response.
use crate::dispatcher::request_deadlines::{fallback_response, RequestDeadlines};
use crate::dispatcher::FinalResponse;
use std::time::Duration;
use tokio::time::Instant;

#[test]
fn fallback_response_is_due_5_ms_before_the_deadline_or_at_once() {
    let now = Instant::now();
    for (time_left_ms, fallback_ms) in [(1000.0, 995), (5.0, 0), (2.0, 0), (0.0, 0)] {
        let fallback_at = RequestDeadlines::new(now, time_left_ms).fallback_at();
        assert_eq!(fallback_at, now + Duration::from_millis(fallback_ms), "{time_left_ms} ms");
    }
}

#[test]
fn attempt_times_out_no_later_than_its_request() {
    let now = Instant::now();
    let deadlines = RequestDeadlines::new(now, 1000.0);
    let after_ms = |ms| now + Duration::from_millis(ms);
    let cases = [(0, 300.0, 300), (600, 300.0, 900), (800, 300.0, 1000), (800, 1.0, 801)];
    for (started_after_ms, timeout_ms, ends_after_ms) in cases {
        let ends_at = deadlines.attempt_deadline(after_ms(started_after_ms), timeout_ms);
        assert_eq!(
            ends_at,
            after_ms(ends_after_ms),
            "started after {started_after_ms} ms for {timeout_ms} ms"
        );
    }
}

/// A client that reads a rejection may send its request again. If an attempt had been asked for, the request
/// could run twice. Expected: only a request without attempts is rejected, and any other fails.
#[test]
fn fallback_rejects_only_a_request_without_attempts() {
    assert!(matches!(fallback_response(false), FinalResponse::Rejected { retry_after_ms: None }));
    assert!(matches!(fallback_response(true), FinalResponse::Failed));
}
