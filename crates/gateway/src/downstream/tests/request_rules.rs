//! Tests of the deadline of a body, of the reasons to close a connection and of how it closes, with a case for each
//! branch.
use crate::downstream::connection::{ConnectionRole, ConnectionStage};
use crate::downstream::request_rules::{
    body_deadline, close_mode, close_reason, BodyDeadlineInput, CloseInput, CloseMode, CloseReason,
    BODY_TIMEOUT,
};
use crate::downstream::server_phase::ServerPhase;
use std::time::Duration;
use tokio::time::Instant;

#[test]
fn body_deadline_follows_the_stage_and_never_exceeds_the_time_left() {
    let received_at = Instant::now();
    let first_request_deadline = received_at + Duration::from_millis(700);
    let after_ms = |ms| received_at + Duration::from_millis(ms);
    let cases = [
        (ConnectionStage::AwaitingFirstRequest, 5000.0, first_request_deadline),
        (ConnectionStage::AwaitingFirstRequest, 300.0, after_ms(300)),
        (ConnectionStage::Idle, 5000.0, received_at + BODY_TIMEOUT),
        (ConnectionStage::InUseOrClosing, 5000.0, received_at + BODY_TIMEOUT),
        (ConnectionStage::Idle, 300.0, after_ms(300)),
    ];
    for (stage, time_left_ms, deadline) in cases {
        let input = BodyDeadlineInput { stage, first_request_deadline, received_at, time_left_ms };
        assert_eq!(body_deadline(&input), deadline, "{input:?}");
    }
}

#[test]
fn close_reason_is_the_first_that_applies() {
    let open = CloseInput {
        is_invalid: false,
        role: ConnectionRole::Serving,
        is_flooded: false,
        phase: ServerPhase::Serving,
    };
    let rejecting = ConnectionRole::Rejecting;
    let cases = [
        (open, None),
        (CloseInput { phase: ServerPhase::Draining, ..open }, Some(CloseReason::Draining)),
        (CloseInput { phase: ServerPhase::Ending, ..open }, Some(CloseReason::Draining)),
        (CloseInput { is_flooded: true, phase: ServerPhase::Draining, ..open }, Some(CloseReason::Flooded)),
        (CloseInput { role: rejecting, is_flooded: true, ..open }, Some(CloseReason::OverLimit)),
        (CloseInput { is_invalid: true, role: rejecting, ..open }, Some(CloseReason::InvalidRequest)),
    ];
    for (input, reason) in cases {
        assert_eq!(close_reason(&input), reason, "{input:?}");
    }
}

/// A request whose head is incomplete when the server ends can't be served any more. If its connection closed without a
/// response, a client that had just written the rest would count it as lost. Expected: it is rejected then, and not
/// before; a request whose head has arrived is left to its handler.
#[test]
fn incomplete_head_is_rejected_only_when_the_server_ends() {
    use ConnectionStage::{Aborted, AwaitingFirstRequest, Idle, InUseOrClosing};
    use ServerPhase::{Draining, Ending, Serving};
    let cases = [
        (Serving, AwaitingFirstRequest, false, CloseMode::AfterResponse),
        (Draining, AwaitingFirstRequest, false, CloseMode::AfterResponse),
        (Ending, AwaitingFirstRequest, false, CloseMode::RejectIncompleteHead),
        (Ending, AwaitingFirstRequest, true, CloseMode::AfterResponse),
        (Ending, Idle, true, CloseMode::AfterResponse),
        (Ending, InUseOrClosing, true, CloseMode::AfterResponse),
        (Ending, Aborted, false, CloseMode::Abort),
        (Serving, Aborted, true, CloseMode::Abort),
    ];
    for (phase, stage, has_request_head, expected) in cases {
        let mode = close_mode(phase, stage, has_request_head);
        assert_eq!(mode, expected, "{phase:?}, {stage:?}, head: {has_request_head}");
    }
}
