//! The budget of further attempts.

/// Tokens for further attempts: first attempts bring some, each further one costs some. So retries stay a
/// part of all attempts, also while many fail.
#[derive(Debug, Default)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A budget that starts with these tokens.
    pub(crate) fn new(tokens: f64) -> Self {
        RetryBudget { tokens }
    }

    /// Adds tokens, up to `limit` in all.
    pub(crate) fn earn(&mut self, tokens: f64, limit: f64) {
        self.tokens = (self.tokens + tokens).min(limit);
    }

    /// Whether there are as many tokens.
    pub(crate) fn can_spend(&self, tokens: f64) -> bool {
        self.tokens >= tokens
    }

    /// Takes tokens out.
    pub(crate) fn spend(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}
