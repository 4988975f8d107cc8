//! Retries: whether and where a request gets another attempt, what that costs, and when an attempt is
//! stalled.
mod after_attempt;
mod attempt_timeout;
mod repeat_scope;
mod rescue;
mod retry_decision;
mod stalled_attempt;

pub(crate) use after_attempt::{after_attempt, AfterAttempt, EndedAttempt};
pub(crate) use attempt_timeout::{attempt_timeout_ms, ATTEMPT_TIMEOUT_OBJECTIVES};
pub(crate) use repeat_scope::{repeat_scope, RepeatInput, RepeatScope};
pub(crate) use rescue::{rescue, Rescue, RescueInput};
pub(crate) use retry_decision::{
    decide_retry, earned_retry_tokens, RetryDecision, RetryInput, INITIAL_RETRY_TOKENS, MAX_RETRY_TOKENS,
};
pub(crate) use stalled_attempt::{has_turned_long, is_stalled, long_response_ms, PendingAttemptInput};
