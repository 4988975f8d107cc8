//! When the body of a request must be complete, and after which responses a connection closes.
use super::connection::{ConnectionRole, ConnectionStage};
use crate::clock::duration_from_ms;
use std::time::Duration;
use tokio::time::Instant;

/// How long the body of any request but a connection's first may take to arrive.
pub(super) const BODY_TIMEOUT: Duration = Duration::from_millis(2000);

/// What the deadline of a request's body depends on.
#[derive(Debug, Clone, Copy)]
pub(super) struct BodyDeadlineInput {
    /// The stage of the connection.
    pub(super) stage: ConnectionStage,
    /// When the first request of the connection must be complete.
    pub(super) first_request_deadline: Instant,
    /// When the head was received.
    pub(super) received_at: Instant,
    /// How long the client waits for the response from then on, in milliseconds.
    pub(super) time_left_ms: f64,
}

/// When the body of a request must be complete: never later than its client waits.
pub(super) fn body_deadline(input: &BodyDeadlineInput) -> Instant {
    let deadline = match input.stage {
        ConnectionStage::AwaitingFirstRequest => input.first_request_deadline,
        ConnectionStage::Idle | ConnectionStage::Active | ConnectionStage::Aborted => {
            input.received_at + BODY_TIMEOUT
        }
    };
    deadline.min(input.received_at + duration_from_ms(input.time_left_ms))
}

/// What decides whether a connection closes after a response.
#[derive(Debug, Clone, Copy)]
pub(super) struct CloseInput {
    /// The request was invalid.
    pub(super) is_invalid: bool,
    /// What becomes of the connection's requests.
    pub(super) role: ConnectionRole,
    /// The client has sent a flood of bytes after a request.
    pub(super) is_flooded: bool,
    /// The gateway is draining.
    pub(super) is_draining: bool,
}

/// Why a connection closes after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Where an invalid request ends is unknown. What follows it, like a body that was not read, must not
    /// be taken for another request.
    InvalidRequest,
    /// The connection is beyond the limit.
    OverLimit,
    /// A next request may have been discarded with the flood.
    Flooded,
    /// The gateway is draining.
    Draining,
}

/// Why the connection closes after this response; `None` if it stays open.
pub(super) fn close_reason(input: &CloseInput) -> Option<CloseReason> {
    if input.is_invalid {
        Some(CloseReason::InvalidRequest)
    } else if input.role == ConnectionRole::Rejecting {
        Some(CloseReason::OverLimit)
    } else if input.is_flooded {
        Some(CloseReason::Flooded)
    } else if input.is_draining {
        Some(CloseReason::Draining)
    } else {
        None
    }
}
