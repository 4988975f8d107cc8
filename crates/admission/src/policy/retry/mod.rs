//! Retries: whether a request gets another attempt, at which endpoints, what the attempt costs, and when an
//! attempt is stalled.
//!
//! A stalled attempt is not the same as a stalled endpoint (`policy::outlier`). In broadcast mode the
//! attempts at outliers are stalled. In a large fleet an attempt is also stalled by its own age.
mod after_attempt;
mod attempt_timeout;
mod attempt_write;
mod key_window;
mod possible_run;
mod retry_decision;
mod retry_scope;
mod stalled_action;
mod stalled_attempt;

pub(crate) use after_attempt::{after_attempt, AfterAttempt, AfterAttemptInput};
pub(crate) use attempt_timeout::{attempt_timeout_ms, ATTEMPT_TIMEOUT_OBJECTIVES};
pub(crate) use attempt_write::{attempt_may_be_written, AttemptWriteInput};
pub(crate) use possible_run::may_have_run;
pub(crate) use retry_decision::{
    decide_retry, earned_retry_tokens, RetryDecision, RetryInput, INITIAL_RETRY_TOKENS, MAX_RETRY_TOKENS,
};
pub(crate) use retry_scope::{retry_scope, RetryScope, RetryScopeInput};
pub(crate) use stalled_action::{stalled_action, StalledAction, StalledActionInput};
pub(crate) use stalled_attempt::{has_become_slow, is_presumed_stalled, slow_after_ms, InFlightAttemptInput};
