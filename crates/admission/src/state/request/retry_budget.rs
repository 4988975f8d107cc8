//! The retry budget.
use crate::mechanism::token_bucket::TokenCount;

/// Tokens that limit retries: the first attempt of a request adds some, and each retry costs some. Retries
/// therefore stay a bounded fraction of all attempts, even while many attempts fail.
#[derive(Debug, Default)]
pub(crate) struct RetryBudget {
    /// The tokens that are left to spend on retries.
    tokens: TokenCount,
}

impl RetryBudget {
    /// Creates a budget that holds `tokens`.
    pub(crate) fn new(tokens: f64) -> Self {
        RetryBudget { tokens: TokenCount::new(tokens) }
    }

    /// Adds tokens, up to a total of `limit`.
    pub(crate) fn earn(&mut self, tokens: f64, limit: f64) {
        self.tokens.add(tokens, limit);
    }

    /// Returns the available tokens.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens.tokens()
    }

    /// Removes tokens.
    pub(crate) fn spend(&mut self, tokens: f64) {
        self.tokens.take(tokens);
    }
}
