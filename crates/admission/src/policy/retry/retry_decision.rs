//! Decides whether a request gets another attempt, and what the attempt costs.

/// Retry tokens that a gateway starts with.
pub(crate) const INITIAL_RETRY_TOKENS: f64 = 10.0;

/// Retry tokens that the first attempt of each request earns.
const RETRY_TOKENS_PER_REQUEST: f64 = 0.2;

/// Maximum number of retry tokens that a gateway saves.
pub(crate) const MAX_RETRY_TOKENS: f64 = 20.0;

/// Retry tokens that an attempt costs if an earlier attempt of the request may have run, so that the work may
/// be done twice.
pub(crate) const RETRY_COST_AFTER_POSSIBLE_RUN: f64 = 1.0;

/// Retry tokens that an attempt costs if no earlier attempt of the request can have run.
const RETRY_COST_AFTER_NO_RUN: f64 = 0.2;

/// The state of a request that may be retried, and of the retry budget.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RetryInput {
    /// The request has its final response, or its client has disconnected.
    pub is_closed: bool,
    /// Number of attempts of the request that were sent.
    pub attempts: usize,
    /// Maximum number of attempts of a request, from the settings.
    pub max_attempts: u32,
    /// A response can no longer arrive within the request's latency objective, or before its deadline if that
    /// is sooner.
    pub is_too_late: bool,
    /// An earlier attempt of the request may have run.
    pub may_have_run: bool,
    /// Retry tokens that the gateway has.
    pub retry_tokens: f64,
}

/// The decision whether a request gets another attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum RetryDecision {
    /// The request gets another attempt if there is an endpoint for it.
    Retry {
        /// Retry tokens that the attempt costs.
        cost_tokens: f64,
    },
    /// The request is closed, or all its attempts were sent.
    NoAttemptLeft,
    /// A response can no longer arrive in time.
    TooLate,
    /// The gateway has too few retry tokens. The budget keeps retries from adding much load while many
    /// attempts fail.
    BudgetExhausted,
}

/// Decides whether a request gets another attempt, by its number of attempts, the time left and the retry
/// budget.
pub(crate) fn decide_retry(input: &RetryInput) -> RetryDecision {
    let cost_tokens =
        if input.may_have_run { RETRY_COST_AFTER_POSSIBLE_RUN } else { RETRY_COST_AFTER_NO_RUN };
    if !has_attempt_left(input.is_closed, input.attempts, input.max_attempts) {
        RetryDecision::NoAttemptLeft
    } else if input.is_too_late {
        RetryDecision::TooLate
    } else if input.retry_tokens < cost_tokens {
        RetryDecision::BudgetExhausted
    } else {
        RetryDecision::Retry { cost_tokens }
    }
}

/// Returns the retry tokens that an attempt earns if `earlier_attempts` of its request were sent before it.
/// Retries earn none, so that they stay a bounded fraction of all attempts.
pub(crate) fn earned_retry_tokens(earlier_attempts: usize) -> f64 {
    if earlier_attempts == 0 {
        RETRY_TOKENS_PER_REQUEST
    } else {
        0.0
    }
}

/// Returns whether a request is still open and has had fewer than `max_attempts` attempts.
pub(crate) fn has_attempt_left(is_closed: bool, attempts: usize, max_attempts: u32) -> bool {
    !is_closed && attempts < max_attempts as usize
}
