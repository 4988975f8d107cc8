//! What is done about a stalled attempt.
//!
//! It guards against hung machines and lost zones: their attempts fail only by the time-out, which is often
//! too late for a retry. A stall is noticed earlier, whatever its cause.
use crate::policy::retry::retry_decision::{has_attempt_left, RETRY_COST_AFTER_POSSIBLE_RUN};
use crate::settings::Idempotency;

/// What decides about a request with a stalled attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StalledActionInput {
    /// The request has its final response, or its client has disconnected.
    pub is_closed: bool,
    /// Attempts that it has had.
    pub attempts: usize,
    /// Attempts that it may have at most, from the settings.
    pub max_attempts: u32,
    /// Its attempts in flight.
    pub in_flight: usize,
    /// What its class allows once an attempt may have run.
    pub idempotency: Idempotency,
    /// Two attempts of a request may be in flight at once, from the settings.
    pub hedging_allowed: bool,
    /// Attempts may be cancelled, from the settings.
    pub cancel_allowed: bool,
    /// Retry tokens at hand.
    pub retry_tokens: f64,
}

/// What is done about a stalled attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StalledAction {
    /// A hedged request is sent beside it, where a retry is allowed.
    Hedge,
    /// It is cancelled, so that its end brings a retry.
    Cancel,
    /// Nothing.
    Leave,
}

/// What is done about a stalled attempt. It is cancelled only where a retry can follow.
pub(crate) fn stalled_action(input: &StalledActionInput) -> StalledAction {
    let has_attempt_left = has_attempt_left(input.is_closed, input.attempts, input.max_attempts);
    let is_hedged = input.in_flight > 1;
    if !has_attempt_left || is_hedged {
        return StalledAction::Leave;
    }
    let may_repeat = input.idempotency != Idempotency::NonIdempotent;
    if input.hedging_allowed {
        StalledAction::Hedge
    } else if input.cancel_allowed && may_repeat && input.retry_tokens >= RETRY_COST_AFTER_POSSIBLE_RUN {
        StalledAction::Cancel
    } else {
        StalledAction::Leave
    }
}
