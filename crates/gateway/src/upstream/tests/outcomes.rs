//! How an attempt ended, and why one is not sent, branch by branch.
use crate::http_connection::ExchangeError::{ConnectionLost, InvalidResponse};
use crate::upstream::outcomes::{
    failure_outcome, reason_not_to_send, response_outcome, timeout_outcome, SendCheck,
};
use hyper::StatusCode;
use irishinge_admission::Outcome;

#[test]
fn a_request_is_sent_only_by_a_valid_list_to_a_ready_endpoint_and_while_it_is_wanted() {
    let sound = SendCheck { is_lease_expired: false, is_endpoint_ready: true, is_wanted: true };
    let cases = [
        (sound, None),
        (SendCheck { is_wanted: false, ..sound }, Some(Outcome::ConnectFailed)),
        (SendCheck { is_endpoint_ready: false, ..sound }, Some(Outcome::ConnectFailed)),
        (SendCheck { is_lease_expired: true, ..sound }, Some(Outcome::NotSent)),
        (SendCheck { is_lease_expired: true, is_endpoint_ready: false, ..sound }, Some(Outcome::NotSent)),
    ];
    for (check, outcome) in cases {
        assert_eq!(reason_not_to_send(&check), outcome, "{check:?}");
    }
}

#[test]
fn a_response_is_a_rejection_only_with_its_status_and_its_mark() {
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
    for (status, is_marked_rejected, outcome) in cases {
        assert_eq!(response_outcome(status, is_marked_rejected), outcome, "{status} {is_marked_rejected}");
    }
}

/// An attempt of which nothing was written never ran, and may be repeated whatever its class. One of which
/// a byte was written may have run.
#[test]
fn an_attempt_never_ran_only_if_nothing_of_it_was_written() {
    for error in [ConnectionLost, InvalidResponse] {
        assert_eq!(failure_outcome(false, &error), Outcome::ConnectFailed, "{error:?}");
    }
    assert_eq!(failure_outcome(true, &ConnectionLost), Outcome::Reset);
    assert_eq!(failure_outcome(true, &InvalidResponse), Outcome::Error);
    assert_eq!(timeout_outcome(false), Outcome::ConnectFailed);
    assert_eq!(timeout_outcome(true), Outcome::TimedOut);
}
