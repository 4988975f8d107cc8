//! Exponential back-off with jitter.

/// The first and the longest delay of a back-off. Each consecutive failure doubles the delay.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BackoffLimits {
    /// Delay after the first failure, in milliseconds.
    pub base_ms: f64,
    /// Longest delay, in milliseconds.
    pub max_ms: f64,
}

impl BackoffLimits {
    /// Returns the delay after a failure that follows `failures` consecutive ones, in milliseconds.
    fn delay_ms(self, failures: u32) -> f64 {
        (self.base_ms * f64::from(1u32 << failures.min(31))).min(self.max_ms)
    }
}

/// Returns a factor on a delay, from a range of the width `spread` around 1. `draw` is a random number from 0
/// to 1.
pub(crate) fn jitter_factor(spread: f64, draw: f64) -> f64 {
    1.0 - spread / 2.0 + spread * draw
}

/// The delay after failures, during which the endpoint that failed is avoided.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Backoff {
    /// When the present delay ends, in milliseconds.
    until_ms: f64,
    /// Number of consecutive failures.
    failures: u32,
}

impl Backoff {
    /// Returns whether a delay is in progress.
    pub(crate) fn is_active(&self, now_ms: f64) -> bool {
        now_ms < self.until_ms
    }

    /// Returns the number of consecutive failures.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// Counts a failure and starts its delay, multiplied by `jitter`. A failure during a delay is not
    /// counted, because it is usually that of an attempt sent before the delay and shows the same fault.
    pub(crate) fn record_failure(&mut self, now_ms: f64, limits: BackoffLimits, jitter: f64) {
        if self.is_active(now_ms) {
            return;
        }
        self.until_ms = now_ms + limits.delay_ms(self.failures) * jitter;
        self.failures += 1;
    }

    /// Sets the end of the delay without counting a failure.
    pub(crate) fn pause_until(&mut self, until_ms: f64) {
        self.until_ms = until_ms;
    }

    /// Resets the count of failures. A delay in progress continues.
    pub(crate) fn reset_failures(&mut self) {
        self.failures = 0;
    }

    /// Decrements the count of failures. A delay in progress continues.
    pub(crate) fn decrement_failures(&mut self) {
        self.failures = self.failures.saturating_sub(1);
    }
}
