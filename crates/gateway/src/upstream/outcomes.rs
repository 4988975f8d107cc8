//! The outcome of an attempt, derived from what was written and received, and the outcome of an attempt whose
//! request must no longer be sent.
use crate::http_connection::ExchangeError;
use hyper::StatusCode;
use irishinge_admission::Outcome;

/// The state that decides whether a request may be sent once a connection is acquired.
#[derive(Debug, Clone, Copy)]
pub(super) struct SendCheck {
    /// Whether the lease on the endpoint list has expired.
    pub(super) is_lease_expired: bool,
    /// Whether the endpoint is ready and still has the address that the connection was made to.
    pub(super) is_endpoint_ready: bool,
    /// Whether the request still waits for its response.
    pub(super) awaits_response: bool,
}

/// Returns the outcome of an attempt whose request must no longer be sent now that the connection is
/// acquired, or `None` if the request may be sent.
///
/// With `ConnectFailed`, the admission library counts a failure of the endpoint. That includes a request
/// which no longer waits for its response, although its endpoint may be healthy.
pub(super) fn outcome_if_not_sendable(check: &SendCheck) -> Option<Outcome> {
    if check.is_lease_expired {
        // An expired list says nothing about the endpoint, so the outcome must not count as the endpoint's
        // failure.
        Some(Outcome::NotSent)
    } else if !check.is_endpoint_ready || !check.awaits_response {
        Some(Outcome::ConnectFailed)
    } else {
        None
    }
}

/// Returns the outcome of an attempt with a complete response.
///
/// `has_rejected_header` says whether the response has `X-Rejected: 1`. The header only counts together with
/// the statuses with which endpoints reject requests, 503 and 504.
pub(super) fn response_outcome(status: StatusCode, has_rejected_header: bool) -> Outcome {
    match status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if has_rejected_header => {
            Outcome::Overloaded
        }
        _ => Outcome::Error,
    }
}

/// Returns the outcome of an attempt whose exchange failed. `any_written` says whether at least one byte of
/// the request was written.
pub(super) fn failure_outcome(any_written: bool, error: &ExchangeError) -> Outcome {
    match error {
        _ if !any_written => Outcome::ConnectFailed,
        ExchangeError::ConnectionLost => Outcome::Reset,
        // The endpoint is up and has responded, but not with valid HTTP.
        ExchangeError::InvalidResponse | ExchangeError::SurplusBytes => Outcome::Error,
    }
}

/// Returns the outcome of an attempt that timed out. `any_written` says whether at least one byte of the
/// request was written.
///
/// `any_written` does not say how much was written. It may be the whole request, which the kernel sends even
/// after the time-out. If the request counted as never sent, it could be sent again while it runs.
pub(super) fn timeout_outcome(any_written: bool) -> Outcome {
    if any_written {
        Outcome::TimedOut
    } else {
        Outcome::ConnectFailed
    }
}
