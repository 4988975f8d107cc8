//! The outcome of an attempt, derived from what was written and received, and the reasons for which its
//! request is not written.
use crate::http_connection::{ExchangeError, WriteProgress};
use hyper::StatusCode;
use irishinge_admission::Outcome;

/// The state that decides whether a request may be written, as of the moment of a write.
#[derive(Debug, Clone, Copy)]
pub(super) struct WriteCheck {
    /// How much of the request has been written before.
    pub(super) progress: WriteProgress,
    /// Whether the lease on the endpoint list has expired.
    pub(super) is_lease_expired: bool,
    /// Whether the endpoint is ready and is still the one that the connection was made to.
    pub(super) is_endpoint_ready: bool,
    /// Whether the attempt has timed out.
    pub(super) is_timed_out: bool,
    /// What is known of the request.
    pub(super) request: RequestStatus,
}

/// What the owner of a request knows of it and of one of its attempts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestStatus {
    /// Whether the request still waits for its response.
    pub(crate) awaits_response: bool,
    /// Whether writing this attempt cannot make the request run twice.
    pub(crate) is_repeat_safe: bool,
}

/// Why a request is not written, or not written on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum WriteRefusal {
    /// The lease on the endpoint list has expired.
    #[error("the endpoint list has expired")]
    LeaseExpired,
    /// The endpoint accepts no requests any more, or another one has taken its place.
    #[error("the endpoint is no longer ready")]
    EndpointNotReady,
    /// The client has disconnected, or has the response of another attempt.
    #[error("the request no longer waits for a response")]
    ResponseNotAwaited,
    /// The attempt has timed out.
    #[error("the attempt has timed out")]
    TimedOut,
    /// Another attempt may have run, and the endpoints may have forgotten the request's idempotency key.
    #[error("the request could run twice")]
    RepeatUnsafe,
}

/// Returns why a request may not be written, or not be written on, or `None` if it may.
///
/// A request counts as sent from its first byte on, so the list and the client are checked only before that:
/// the rest of a request that has begun may follow. It runs only after its last byte, so time-out and
/// idempotency key are checked before each byte.
pub(super) fn write_refusal(check: &WriteCheck) -> Option<WriteRefusal> {
    let is_first_write = check.progress == WriteProgress::NothingWritten;
    if is_first_write && check.is_lease_expired {
        Some(WriteRefusal::LeaseExpired)
    } else if is_first_write && !check.request.awaits_response {
        Some(WriteRefusal::ResponseNotAwaited)
    } else if is_first_write && !check.is_endpoint_ready {
        Some(WriteRefusal::EndpointNotReady)
    } else if check.is_timed_out {
        Some(WriteRefusal::TimedOut)
    } else if !check.request.is_repeat_safe {
        Some(WriteRefusal::RepeatUnsafe)
    } else {
        None
    }
}

/// Returns the outcome of an attempt whose request was not written. `any_written` says whether at least one
/// byte of it was written before.
pub(super) fn refusal_outcome(refusal: WriteRefusal, any_written: bool) -> Outcome {
    match refusal {
        WriteRefusal::TimedOut => timeout_outcome(any_written),
        _ if any_written => Outcome::TimedOut,
        WriteRefusal::EndpointNotReady => Outcome::ConnectFailed,
        // None of these says anything about the endpoint, so the outcome must not count as its failure.
        WriteRefusal::LeaseExpired | WriteRefusal::ResponseNotAwaited | WriteRefusal::RepeatUnsafe => {
            Outcome::NotSent
        }
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
        ExchangeError::WriteNotPermitted | ExchangeError::WriteInterrupted => Outcome::TimedOut,
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
