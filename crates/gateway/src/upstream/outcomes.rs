//! How an attempt ended, by what was written and what was received, and why an attempt must not be sent.
use crate::http_connection::ExchangeError;
use hyper::StatusCode;
use irishinge_admission::Outcome;

/// What is known once the connection for an attempt is established.
#[derive(Debug, Clone, Copy)]
pub(super) struct SendCheck {
    /// The lease on the endpoint list has run out.
    pub(super) is_lease_expired: bool,
    /// The endpoint is ready, at the address of the connection.
    pub(super) is_endpoint_ready: bool,
    /// The call still waits for its response.
    pub(super) is_wanted: bool,
}

/// Why the request must not be sent any more now that the connection is established; `None` if it may be.
pub(super) fn reason_not_to_send(check: &SendCheck) -> Option<Outcome> {
    if check.is_lease_expired {
        // The endpoint is not to blame.
        Some(Outcome::NotSent)
    } else if !check.is_endpoint_ready || !check.is_wanted {
        Some(Outcome::ConnectFailed)
    } else {
        None
    }
}

/// The outcome of a complete response. `is_marked_rejected`: it has `X-Rejected: 1`, which only counts with
/// the statuses by which endpoints reject.
pub(super) fn response_outcome(status: StatusCode, is_marked_rejected: bool) -> Outcome {
    match status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_marked_rejected => {
            Outcome::Overloaded
        }
        _ => Outcome::Error,
    }
}

/// The outcome of an exchange that failed. `any_written`: at least one byte of the request was written.
pub(super) fn failure_outcome(any_written: bool, error: &ExchangeError) -> Outcome {
    match error {
        _ if !any_written => Outcome::ConnectFailed,
        ExchangeError::ConnectionLost => Outcome::Reset,
        // The endpoint is up and has responded, but not with valid HTTP.
        ExchangeError::InvalidResponse => Outcome::Error,
    }
}

/// The outcome of an attempt whose time is over. `any_written`: at least one byte of the request was written.
///
/// One byte is enough for the endpoint to have received the request, since the kernel may have sent the
/// rest. If it counted as never sent, it could be sent again while it runs.
pub(super) fn timeout_outcome(any_written: bool) -> Outcome {
    if any_written {
        Outcome::TimedOut
    } else {
        Outcome::ConnectFailed
    }
}
