//! The rules for when the body of a request must be complete, after which responses a connection closes, and
//! how it closes on request.
use super::connection::{ConnectionRole, ConnectionStage, RequestProgress};
use super::server_phase::ServerPhase;
use crate::clock::duration_from_ms;
use std::time::Duration;
use tokio::time::Instant;

/// How long the body of a request may take to arrive, counted from the arrival of the head. The first request
/// of a connection has a deadline of its own.
pub(super) const BODY_TIMEOUT: Duration = Duration::from_millis(2000);

/// The input of [`body_deadline`].
#[derive(Debug, Clone, Copy)]
pub(super) struct BodyDeadlineInput {
    /// The stage of the connection.
    pub(super) stage: ConnectionStage,
    /// When the first request of the connection must be complete.
    pub(super) first_request_deadline: Instant,
    /// When the head of the request was received.
    pub(super) received_at: Instant,
    /// How long after `received_at` the client stops waiting for the response, in milliseconds.
    pub(super) time_left_ms: f64,
}

/// Returns when the body of a request must be complete. That is never later than its client waits.
pub(super) fn body_deadline(input: &BodyDeadlineInput) -> Instant {
    let deadline = match input.stage {
        ConnectionStage::AwaitingFirstRequest => input.first_request_deadline,
        ConnectionStage::Discarding
        | ConnectionStage::Idle
        | ConnectionStage::InUseOrClosing
        | ConnectionStage::Aborted => input.received_at + BODY_TIMEOUT,
    };
    deadline.min(input.received_at + duration_from_ms(input.time_left_ms))
}

/// The input of [`close_reason`].
#[derive(Debug, Clone, Copy)]
pub(super) struct CloseInput {
    /// Whether the request was invalid.
    pub(super) is_invalid: bool,
    /// Whether the requests on the connection are served or rejected.
    pub(super) role: ConnectionRole,
    /// Whether the client has pipelined a flood of bytes behind a request.
    pub(super) is_flooded: bool,
    /// Whether the request was rejected before it had completely arrived.
    pub(super) is_cut_off: bool,
    /// The phase of the server.
    pub(super) phase: ServerPhase,
}

/// The reason why a connection closes after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The request was invalid, so it is unknown where it ends. What follows its head, such as a body that
    /// was not read, must not be parsed as another request.
    InvalidRequest,
    /// The connection was accepted beyond the limit.
    OverLimit,
    /// The client has pipelined a flood of bytes, and a further request may have been discarded with them.
    Flooded,
    /// The request was rejected before it had completely arrived, and its rest must not be parsed as another
    /// request.
    CutOff,
    /// The server is draining or ending.
    Draining,
}

/// Returns why the connection closes after the response; `None` if it stays open.
pub(super) fn close_reason(input: &CloseInput) -> Option<CloseReason> {
    if input.is_invalid {
        Some(CloseReason::InvalidRequest)
    } else if input.role == ConnectionRole::Rejecting {
        Some(CloseReason::OverLimit)
    } else if input.is_flooded {
        Some(CloseReason::Flooded)
    } else if input.is_cut_off {
        Some(CloseReason::CutOff)
    } else if input.phase != ServerPhase::Serving {
        Some(CloseReason::Draining)
    } else {
        None
    }
}

/// How a connection closes for which a close was requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseMode {
    /// At once and without a response.
    Abort,
    /// At once, after a rejection of the request whose head has not completely arrived.
    RejectIncompleteHead,
    /// After the response if a request is in progress, and else at once.
    AfterResponse,
    /// After the response to the request that has begun to arrive.
    AfterNextResponse,
}

/// Returns how a connection in `stage` closes, of whose next request so much has arrived as `progress` says.
///
/// A request that has begun to arrive gets a response: hyper takes a connection for idle until the head is
/// complete, and would close it without one. In the last phase nothing more is read of it, because the
/// process might end before the response to it.
pub(super) fn close_mode(phase: ServerPhase, stage: ConnectionStage, progress: RequestProgress) -> CloseMode {
    match (stage, progress, phase) {
        (ConnectionStage::Aborted, _, _) => CloseMode::Abort,
        (ConnectionStage::InUseOrClosing, _, _)
        | (_, RequestProgress::NotBegun | RequestProgress::HeadComplete, _)
        | (_, RequestProgress::HeadIncomplete, ServerPhase::Serving) => CloseMode::AfterResponse,
        (_, RequestProgress::HeadIncomplete, ServerPhase::Draining) => CloseMode::AfterNextResponse,
        (_, RequestProgress::HeadIncomplete, ServerPhase::Ending) => CloseMode::RejectIncompleteHead,
    }
}
