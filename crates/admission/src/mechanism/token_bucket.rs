//! Token buckets: tokens accrue up to a limit, and each unit of work takes some.

/// Tokens whose amount is added by the caller, up to a limit that comes with each addition.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TokenCount(f64);

impl TokenCount {
    /// So many tokens.
    pub(crate) fn new(tokens: f64) -> Self {
        TokenCount(tokens)
    }

    /// Tokens now; below 0 where more were taken than there were.
    pub(crate) fn tokens(self) -> f64 {
        self.0
    }

    /// Adds tokens, up to a limit.
    pub(crate) fn add(&mut self, amount: f64, limit: f64) {
        self.0 = (self.0 + amount).min(limit);
    }

    /// Takes tokens, whether there are enough or not. A negative amount gives some back.
    pub(crate) fn take(&mut self, amount: f64) {
        self.0 -= amount;
    }
}

/// A token bucket that fills at a steady rate, or this gateway's fraction of one that a fleet divides. Rate
/// and burst are those of the whole bucket and come with each refill.
#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    /// Tokens in the bucket.
    count: TokenCount,
    /// Fraction of the whole bucket that this gateway has, 0 to 1.
    fraction: f64,
    /// When tokens were last added for the time that had passed, in ms.
    refilled_ms: f64,
}

impl TokenBucket {
    /// A bucket with `tokens` now.
    pub(crate) fn new(tokens: f64, fraction: f64, now_ms: f64) -> Self {
        TokenBucket { count: TokenCount::new(tokens), fraction, refilled_ms: now_ms }
    }

    /// Tokens as of the last refill; below 0 where more were taken than there were.
    pub(crate) fn tokens(&self) -> f64 {
        self.count.tokens()
    }

    /// Adds the tokens of the time since the last refill, up to the burst.
    pub(crate) fn refill(&mut self, rate_per_second: f64, burst: f64, now_ms: f64) {
        let seconds = (now_ms - self.refilled_ms).max(0.0) / 1000.0;
        self.refilled_ms = now_ms;
        self.add(rate_per_second * seconds * self.fraction, burst * self.fraction);
    }

    /// Lets the time since the last refill pass without adding tokens.
    pub(crate) fn skip_refill(&mut self, now_ms: f64) {
        self.refilled_ms = now_ms;
    }

    /// Adds tokens, up to a limit.
    pub(crate) fn add(&mut self, amount: f64, limit: f64) {
        self.count.add(amount, limit);
    }

    /// Takes tokens, whether there are enough or not. A negative amount gives some back.
    pub(crate) fn take(&mut self, amount: f64) {
        self.count.take(amount);
    }

    /// Replaces the tokens by a figure known from elsewhere.
    pub(crate) fn set(&mut self, tokens: f64) {
        self.count = TokenCount::new(tokens);
    }
}
