//! Tests of attempt outcomes, also of attempts whose request must no longer be sent.
use crate::http_connection::ExchangeError::{ConnectionLost, InvalidResponse};
use crate::upstream::outcomes::{
    failure_outcome, outcome_if_not_sendable, response_outcome, timeout_outcome, SendCheck,
};
use hyper::StatusCode;
use irishinge_admission::Outcome;

#[test]
fn sends_only_with_a_valid_list_a_ready_endpoint_and_a_waiting_client() {
    let sendable = SendCheck { is_lease_expired: false, is_endpoint_ready: true, awaits_response: true };
    let cases = [
        (sendable, None),
        (SendCheck { awaits_response: false, ..sendable }, Some(Outcome::ConnectFailed)),
        (SendCheck { is_endpoint_ready: false, ..sendable }, Some(Outcome::ConnectFailed)),
        (SendCheck { is_lease_expired: true, ..sendable }, Some(Outcome::NotSent)),
        (SendCheck { is_lease_expired: true, is_endpoint_ready: false, ..sendable }, Some(Outcome::NotSent)),
    ];
    for (check, outcome) in cases {
        assert_eq!(outcome_if_not_sendable(&check), outcome, "{check:?}");
    }
}

#[test]
fn response_is_a_rejection_only_with_503_or_504_and_x_rejected() {
    let cases = [
        (StatusCode::OK, false, Outcome::Ok),
        (StatusCode::OK, true, Outcome::Ok),
        (StatusCode::SERVICE_UNAVAILABLE, true, Outcome::Overloaded),
        (StatusCode::GATEWAY_TIMEOUT, true, Outcome::Overloaded),
        (StatusCode::SERVICE_UNAVAILABLE, false, Outcome::Error),
        (StatusCode::GATEWAY_TIMEOUT, false, Outcome::Error),
        (StatusCode::INTERNAL_SERVER_ERROR, true, Outcome::Error),
        (StatusCode::CREATED, false, Outcome::Error),
    ];
    for (status, has_rejected_header, outcome) in cases {
        assert_eq!(response_outcome(status, has_rejected_header), outcome, "{status} {has_rejected_header}");
    }
}

/// If no byte of an attempt was written, the request never ran and may be retried whatever its class. If a
/// byte was written, the request may have run, and a retry could run it twice.
#[test]
fn attempt_counts_as_never_run_only_if_nothing_was_written() {
    for error in [ConnectionLost, InvalidResponse] {
        assert_eq!(failure_outcome(false, &error), Outcome::ConnectFailed, "{error:?}");
    }
    assert_eq!(failure_outcome(true, &ConnectionLost), Outcome::Reset);
    assert_eq!(failure_outcome(true, &InvalidResponse), Outcome::Error);
    assert_eq!(timeout_outcome(false), Outcome::ConnectFailed);
    assert_eq!(timeout_outcome(true), Outcome::TimedOut);
}
