//! Exponential back-off, and the jitter on its delays.

/// The first delay of a back-off and the longest one; each failure in a row doubles the delay.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BackoffLimits {
    /// Delay after the first failure, in ms.
    pub base_ms: f64,
    /// Longest delay, in ms.
    pub max_ms: f64,
}

impl BackoffLimits {
    /// The delay that follows `failures` earlier failures in a row.
    fn delay_ms(self, failures: u32) -> f64 {
        (self.base_ms * f64::from(1u32 << failures.min(31))).min(self.max_ms)
    }
}

/// Factor on a delay, from a range of the width `spread` around 1, by a draw from 0 to 1.
pub(crate) fn jitter_factor(spread: f64, draw: f64) -> f64 {
    1.0 - spread / 2.0 + spread * draw
}

/// A delay after failures during which nothing is sent to what failed.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Backoff {
    /// When the present delay ends, in ms.
    until_ms: f64,
    /// Failures counted in a row.
    failures: u32,
}

impl Backoff {
    /// Whether the delay has not ended.
    pub(crate) fn is_active(&self, now_ms: f64) -> bool {
        now_ms < self.until_ms
    }

    /// Failures counted in a row.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// Counts a failure and starts its delay, times `jitter`. A failure during a delay is not counted: it
    /// comes from an attempt sent before, and shows the same fault.
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

    /// Resets the count of failures; the present delay stays as it is.
    pub(crate) fn reset_failures(&mut self) {
        self.failures = 0;
    }

    /// Takes one failure off the count; the present delay stays as it is.
    pub(crate) fn decrement_failures(&mut self) {
        self.failures = self.failures.saturating_sub(1);
    }
}
