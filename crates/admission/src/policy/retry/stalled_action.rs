//! The action taken on a stalled attempt.
//!
//! This protects against hung machines and failed zones. Without it, attempts there fail only by their
//! time-out, which is often too late for a retry. A stall is noticed earlier, whatever its cause.
use crate::policy::retry::retry_decision::{has_attempt_left, RETRY_COST_AFTER_POSSIBLE_RUN};
use crate::settings::Idempotency;

/// A request with a stalled attempt, and what the settings and the retry budget allow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StalledActionInput {
    /// The request has its final response, or its client has disconnected.
    pub is_closed: bool,
    /// Number of attempts of the request that were sent.
    pub attempts: usize,
    /// Maximum number of attempts of a request, from the settings.
    pub max_attempts: u32,
    /// Number of the request's attempts in flight.
    pub in_flight: usize,
    /// Whether another attempt of the request is safe once an earlier one may have run.
    pub idempotency: Idempotency,
    /// Two attempts of a request may be in flight at once, from the settings.
    pub hedging_allowed: bool,
    /// Attempts may be cancelled, from the settings.
    pub cancel_allowed: bool,
    /// Retry tokens that the gateway has.
    pub retry_tokens: f64,
}

/// The action taken on a stalled attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StalledAction {
    /// A hedged attempt is sent in addition to the stalled one, if a retry is allowed.
    Hedge,
    /// The attempt is cancelled, so that its end leads to a retry.
    Cancel,
    /// The attempt is left as it is.
    Leave,
}

/// Decides on the action taken on a stalled attempt. The attempt is cancelled only if the request has an
/// attempt left, its class is not `NonIdempotent` and the gateway has a retry token. Whether there is time,
/// whether the idempotency key's window is still open and whether there is an endpoint is checked only when
/// the retry is decided, after the attempt has ended.
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
