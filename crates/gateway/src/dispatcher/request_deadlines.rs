//! The deadlines of a request, and the fallback response that the dispatcher sends if the admission library
//! has not responded shortly before the deadline.
use super::final_response::FinalResponse;
use crate::clock::duration_from_ms;
use tokio::time::Instant;

/// How long before a request's deadline the dispatcher sends the fallback response, in milliseconds.
///
/// The admission library normally responds sooner. The fallback guarantees that every request gets a
/// response, whatever the library does.
pub(super) const FALLBACK_MARGIN_MS: f64 = 5.0;

/// The deadlines of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RequestDeadlines {
    /// When the client stops waiting.
    deadline: Instant,
    /// When the dispatcher sends the fallback response if there is no response yet.
    fallback_at: Instant,
}

impl RequestDeadlines {
    /// Computes the deadlines of a request whose client waits for `time_left_ms` from `now` on.
    pub(super) fn new(now: Instant, time_left_ms: f64) -> Self {
        RequestDeadlines {
            deadline: now + duration_from_ms(time_left_ms),
            fallback_at: now + duration_from_ms(time_left_ms - FALLBACK_MARGIN_MS),
        }
    }

    /// Returns when the dispatcher sends the fallback response if there is no response yet.
    pub(super) fn fallback_at(&self) -> Instant {
        self.fallback_at
    }

    /// Returns when an attempt that is started at `started_at` times out: after `timeout_ms`, but never later
    /// than the request's deadline.
    pub(super) fn attempt_deadline(&self, started_at: Instant, timeout_ms: f64) -> Instant {
        self.deadline.min(started_at + duration_from_ms(timeout_ms))
    }
}

/// Returns the response to a request that has none shortly before its deadline or when the process ends.
///
/// The request is rejected only if the admission library never asked for an attempt. Otherwise it counts as
/// possibly run, even if no attempt was written to a connection, and fails: a client that reads a rejection
/// may send its request again, which could then run twice.
pub(super) fn fallback_response(was_attempted: bool) -> FinalResponse {
    if was_attempted {
        FinalResponse::Failed
    } else {
        FinalResponse::Rejected { retry_after_ms: None }
    }
}
