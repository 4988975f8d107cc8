//! What a call to the counter came to, by its response or the lack of one.
use super::*;

#[test]
fn a_total_counts_only_with_status_200_and_a_number() {
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

/// A call breaks off before its response. The counter may have added its amount if any of it was written,
/// and then the units must not count as free.
#[test]
fn a_call_without_a_response_was_rejected_only_if_nothing_of_it_was_written() {
    assert_eq!(outcome_without_response(false), CounterOutcome::Rejected);
    assert_eq!(outcome_without_response(true), CounterOutcome::Unanswered);
}
