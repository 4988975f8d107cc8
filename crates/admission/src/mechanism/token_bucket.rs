//! A token bucket: tokens accrue at a steady rate up to a burst, and each unit of work takes some.

/// A token bucket, or this gateway's fraction of one that a fleet shares. Rate and burst are those of the
/// whole bucket; they come with each refill, so that the bucket holds no figure of its own.
#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    /// Tokens in the bucket now. Work may be taken that it does not hold, so it may lie below 0.
    tokens: f64,
    /// Fraction of the whole bucket that is held here, 0 to 1.
    fraction: f64,
    /// When tokens were last added for the time that had passed.
    refilled_ms: f64,
}

impl TokenBucket {
    /// A bucket that holds `tokens` now.
    pub(crate) fn new(tokens: f64, fraction: f64, now_ms: f64) -> Self {
        TokenBucket { tokens, fraction, refilled_ms: now_ms }
    }

    /// Tokens as of the last refill.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
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

    /// Adds tokens up to a limit.
    pub(crate) fn add(&mut self, amount: f64, limit: f64) {
        self.tokens = (self.tokens + amount).min(limit);
    }

    /// Takes tokens, whether the bucket holds them or not. A negative amount gives some back.
    pub(crate) fn take(&mut self, amount: f64) {
        self.tokens -= amount;
    }

    /// Sets the tokens to a figure known from elsewhere.
    pub(crate) fn set(&mut self, tokens: f64) {
        self.tokens = tokens;
    }
}
