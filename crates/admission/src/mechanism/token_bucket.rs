//! Token buckets: tokens accrue up to a limit, and work takes tokens.

/// A number of tokens without a rate of its own: the caller adds tokens, up to a limit that it passes each
/// time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TokenCount(f64);

impl TokenCount {
    /// Creates a count of `tokens`.
    pub(crate) fn new(tokens: f64) -> Self {
        TokenCount(tokens)
    }

    /// Returns the number of tokens. It is below 0 if more tokens were taken than there were.
    pub(crate) fn tokens(self) -> f64 {
        self.0
    }

    /// Adds tokens, up to a total of `limit`.
    pub(crate) fn add(&mut self, amount: f64, limit: f64) {
        self.0 = (self.0 + amount).min(limit);
    }

    /// Takes tokens, even if there are not enough. A negative amount gives some back.
    pub(crate) fn take(&mut self, amount: f64) {
        self.0 -= amount;
    }
}

/// A token bucket that fills at a steady rate, or this gateway's fraction of a bucket that the gateways of a
/// fleet divide among them. Each refill passes the rate and the capacity of the whole bucket.
#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    /// Tokens in the bucket.
    count: TokenCount,
    /// Fraction of the whole bucket that this gateway has, from 0 to 1.
    fraction: f64,
    /// When the bucket was last refilled, in milliseconds.
    refilled_ms: f64,
}

impl TokenBucket {
    /// Creates a bucket that holds `tokens` at `now_ms`.
    pub(crate) fn new(tokens: f64, fraction: f64, now_ms: f64) -> Self {
        TokenBucket { count: TokenCount::new(tokens), fraction, refilled_ms: now_ms }
    }

    /// Returns the tokens as of the last refill. They are below 0 if more tokens were taken than there were.
    pub(crate) fn tokens(&self) -> f64 {
        self.count.tokens()
    }

    /// Returns the fraction of the whole bucket that this gateway has, from 0 to 1.
    pub(crate) fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Adds the tokens for the time since the last refill, up to this gateway's fraction of `burst`.
    pub(crate) fn refill(&mut self, rate_per_second: f64, burst: f64, now_ms: f64) {
        let seconds = (now_ms - self.refilled_ms).max(0.0) / 1000.0;
        self.refilled_ms = now_ms;
        self.add(rate_per_second * seconds * self.fraction, burst * self.fraction);
    }

    /// Lets the time since the last refill pass without adding tokens for it.
    pub(crate) fn skip_refill(&mut self, now_ms: f64) {
        self.refilled_ms = now_ms;
    }

    /// Adds tokens, up to a total of `limit`.
    pub(crate) fn add(&mut self, amount: f64, limit: f64) {
        self.count.add(amount, limit);
    }

    /// Takes tokens, even if there are not enough. A negative amount gives some back.
    pub(crate) fn take(&mut self, amount: f64) {
        self.count.take(amount);
    }

    /// Replaces the number of tokens by one that the caller knows from elsewhere.
    pub(crate) fn set(&mut self, tokens: f64) {
        self.count = TokenCount::new(tokens);
    }
}
