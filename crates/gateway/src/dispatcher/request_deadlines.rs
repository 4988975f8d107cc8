//! The deadlines of a call, and the response to one that has none when its time is over.
use super::final_response::FinalResponse;
use crate::clock::duration_from_ms;
use tokio::time::Instant;

/// How long before a call's deadline the dispatcher responds itself, in milliseconds. The decision library
/// normally responds sooner; this guarantees that every call gets a response, whatever the library does.
pub(super) const DEADLINE_GUARD_MS: f64 = 5.0;

/// The deadlines of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CallDeadlines {
    /// When the client stops waiting.
    deadline: Instant,
    /// When the dispatcher responds itself if there is no response yet.
    guard: Instant,
}

impl CallDeadlines {
    /// The deadlines of a call that is dispatched `now` and whose client waits for `time_left_ms` more.
    pub(super) fn new(now: Instant, time_left_ms: f64) -> Self {
        CallDeadlines {
            deadline: now + duration_from_ms(time_left_ms),
            guard: now + duration_from_ms(time_left_ms - DEADLINE_GUARD_MS),
        }
    }

    /// When the dispatcher responds itself if there is no response yet.
    pub(super) fn guard(&self) -> Instant {
        self.guard
    }

    /// When an attempt that is sent at `sent_at` times out: after `timeout_ms`, but never later than at the
    /// call's deadline.
    pub(super) fn attempt_deadline(&self, sent_at: Instant, timeout_ms: f64) -> Instant {
        self.deadline.min(sent_at + duration_from_ms(timeout_ms))
    }
}

/// The response to a call whose time is over, or that is open when the process ends. Only if no attempt was
/// ever started is it certain that the request never ran, so that it may be called rejected.
pub(super) fn response_without_result(was_attempted: bool) -> FinalResponse {
    if was_attempted {
        FinalResponse::Failed
    } else {
        FinalResponse::Rejected { retry_after_ms: None }
    }
}
