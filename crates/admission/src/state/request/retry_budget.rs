//! The budget of retries.
use crate::mechanism::token_bucket::TokenCount;

/// Tokens for retries: the first attempt of a request brings some, each retry costs some. So retries stay a
/// bounded fraction of all attempts, also while many fail.
#[derive(Debug, Default)]
pub(crate) struct RetryBudget {
    tokens: TokenCount,
}

impl RetryBudget {
    /// A budget that starts with these tokens.
    pub(crate) fn new(tokens: f64) -> Self {
        RetryBudget { tokens: TokenCount::new(tokens) }
    }

    /// Adds tokens, up to `limit` in all.
    pub(crate) fn earn(&mut self, tokens: f64, limit: f64) {
        self.tokens.add(tokens, limit);
    }

    /// Tokens at hand.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens.tokens()
    }

    /// Takes tokens out.
    pub(crate) fn spend(&mut self, tokens: f64) {
        self.tokens.take(tokens);
    }
}
