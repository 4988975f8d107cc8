//! Tests of the phases of the server.
use crate::downstream::server_phase::{PhaseState, ServerPhase};
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Waker};

/// Expected: a phase never goes back, and those that wait for the last one are woken by it alone, at once if it has
/// begun before.
#[tokio::test]
async fn phases_only_advance_and_the_last_one_wakes_those_that_wait() {
    let state = PhaseState::new();
    let mut cx = Context::from_waker(Waker::noop());
    let mut ending = pin!(state.ending());
    assert!(ending.as_mut().poll(&mut cx).is_pending());
    state.advance(ServerPhase::Draining);
    assert!(ending.as_mut().poll(&mut cx).is_pending());
    state.advance(ServerPhase::Ending);
    state.advance(ServerPhase::Draining);
    assert_eq!(state.get(), ServerPhase::Ending);
    assert!(ending.as_mut().poll(&mut cx).is_ready());
    state.ending().await;
}
