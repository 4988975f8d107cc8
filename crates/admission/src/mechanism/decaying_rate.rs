//! A rate of events that decays exponentially while none come.

/// A rate a second, smoothed over a span that comes with each call, so that the rate holds no figure of its
/// own.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingRate {
    /// The rate when it was last added to.
    per_second: f64,
    /// When that was.
    added_ms: f64,
}

impl DecayingRate {
    /// The rate now: it falls to 1/e of what it was in each span without events.
    pub(crate) fn now(&self, now_ms: f64, span_s: f64) -> f64 {
        self.per_second * (-(now_ms - self.added_ms) / 1000.0 / span_s).exp()
    }

    /// Counts `amount` events that come now. A steady stream of events settles at its own rate.
    pub(crate) fn add(&mut self, amount: f64, now_ms: f64, span_s: f64) {
        self.per_second = self.now(now_ms, span_s) + amount / span_s;
        self.added_ms = now_ms;
    }
}
