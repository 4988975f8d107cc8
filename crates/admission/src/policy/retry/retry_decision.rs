//! Whether a request gets another attempt, and what that costs.

/// Retry tokens that a gateway starts with.
pub(crate) const INITIAL_RETRY_TOKENS: f64 = 10.0;

/// Retry tokens that the first attempt of each request brings.
const RETRY_TOKENS_PER_REQUEST: f64 = 0.2;

/// Retry tokens that may be saved up.
pub(crate) const MAX_RETRY_TOKENS: f64 = 20.0;

/// Retry tokens that an attempt costs where an earlier one may have run: its work may be done twice.
pub(crate) const RETRY_COST_AFTER_POSSIBLE_RUN: f64 = 1.0;

/// Retry tokens that an attempt costs where no earlier one ran.
const RETRY_COST_AFTER_NO_RUN: f64 = 0.2;

/// What decides whether a request gets another attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RetryInput {
    /// It has its final response, or its client has disconnected.
    pub is_closed: bool,
    /// Attempts that it has had.
    pub attempts: usize,
    /// Attempts that it may have at most, from the settings.
    pub max_attempts: u32,
    /// No response can come any more within its latency objective, or its deadline where that is sooner.
    pub is_too_late: bool,
    /// An earlier attempt may have run.
    pub may_have_run: bool,
    /// Retry tokens at hand.
    pub retry_tokens: f64,
}

/// Whether a request gets another attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum RetryDecision {
    /// It does, where there is an endpoint for it.
    Retry {
        /// Retry tokens that the attempt costs.
        cost_tokens: f64,
    },
    /// It is closed, or has had all its attempts.
    NoAttemptLeft,
    /// No response can come in time any more.
    TooLate,
    /// The retry budget is exhausted: retries must not add much to the load while many attempts fail.
    BudgetExhausted,
}

/// Whether a request gets another attempt by its number, its time and the retry budget.
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

/// Retry tokens that an attempt brings, which is sent after `earlier_attempts` of its request: retries bring
/// none, so that they stay a bounded fraction of all attempts.
pub(crate) fn earned_retry_tokens(earlier_attempts: usize) -> f64 {
    if earlier_attempts == 0 {
        RETRY_TOKENS_PER_REQUEST
    } else {
        0.0
    }
}

/// Whether a request still waits for its response and has had fewer attempts than it may have at most.
pub(crate) fn has_attempt_left(is_closed: bool, attempts: usize, max_attempts: u32) -> bool {
    !is_closed && attempts < max_attempts as usize
}
