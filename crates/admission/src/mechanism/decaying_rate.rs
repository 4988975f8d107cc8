//! A rate of events that decays exponentially while none come.

/// Least rate that divides, a second: it keeps quotients finite.
const MIN_DIVISOR_PER_SECOND: f64 = 1e-9;

/// A rate of events a second, smoothed over a span that each call gives.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingRate {
    /// The rate after the last event, a second.
    per_second: f64,
    /// When the last event came, in ms.
    added_ms: f64,
}

impl DecayingRate {
    /// The rate at `now_ms`: each span without events reduces it to 1/e of what it was.
    pub(crate) fn now(&self, now_ms: f64, span_s: f64) -> f64 {
        self.per_second * (-(now_ms - self.added_ms) / 1000.0 / span_s).exp()
    }

    /// The rate at `now_ms` as a divisor: never 0.
    pub(crate) fn divisor(&self, now_ms: f64, span_s: f64) -> f64 {
        self.now(now_ms, span_s).max(MIN_DIVISOR_PER_SECOND)
    }

    /// Counts `amount` events at `now_ms`. The rate converges to that of a steady stream of events.
    pub(crate) fn add(&mut self, amount: f64, now_ms: f64, span_s: f64) {
        self.per_second = self.now(now_ms, span_s) + amount / span_s;
        self.added_ms = now_ms;
    }
}
