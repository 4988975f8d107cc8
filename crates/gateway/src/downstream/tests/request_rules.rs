//! Tests of the deadline of a body and of the reasons to close a connection, with a case for each branch.
use crate::downstream::connection::{ConnectionRole, ConnectionStage};
use crate::downstream::request_rules::{
    body_deadline, close_reason, BodyDeadlineInput, CloseInput, CloseReason, BODY_TIMEOUT,
};
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
        is_draining: false,
    };
    let rejecting = ConnectionRole::Rejecting;
    let cases = [
        (open, None),
        (CloseInput { is_draining: true, ..open }, Some(CloseReason::Draining)),
        (CloseInput { is_flooded: true, is_draining: true, ..open }, Some(CloseReason::Flooded)),
        (CloseInput { role: rejecting, is_flooded: true, ..open }, Some(CloseReason::OverLimit)),
        (CloseInput { is_invalid: true, role: rejecting, ..open }, Some(CloseReason::InvalidRequest)),
    ];
    for (input, reason) in cases {
        assert_eq!(close_reason(&input), reason, "{input:?}");
    }
}
