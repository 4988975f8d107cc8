//! The tests of the outcomes of calls to the quota counter, with and without a response.
use super::*;

#[test]
fn total_requires_status_200_and_a_number() {
    let cases: [(u16, &[u8], CounterOutcome); 11] = [
        (200, b"38", CounterOutcome::Total(38.0)),
        (200, b" 38.5\n", CounterOutcome::Total(38.5)),
        (200, b"", CounterOutcome::Unanswered),
        (200, b"many", CounterOutcome::Unanswered),
        (200, b"inf", CounterOutcome::Unanswered),
        (200, b"\xff", CounterOutcome::Unanswered),
        (400, b"", CounterOutcome::Rejected),
        (404, b"38", CounterOutcome::Rejected),
        (503, b"", CounterOutcome::Rejected),
        (500, b"38", CounterOutcome::Unanswered),
        (204, b"", CounterOutcome::Unanswered),
    ];
    for (status, body, outcome) in cases {
        let status = StatusCode::from_u16(status).expect("a status");
        assert_eq!(response_outcome(status, body), outcome, "{status} {body:?}");
    }
}

/// A call ends without a response. If any byte of the request was written, the quota counter may have added
/// the amount. If the call then counted as rejected, units that were added would count as free.
#[test]
fn call_without_response_is_rejected_only_if_nothing_was_written() {
    assert_eq!(outcome_without_response(false), CounterOutcome::Rejected);
    assert_eq!(outcome_without_response(true), CounterOutcome::Unanswered);
}
