//! The rate of events, as an exponentially decaying average.

/// Lower bound of a rate that is used as a divisor, per second, to keep quotients finite.
const MIN_DIVISOR_PER_SECOND: f64 = 1e-9;

/// The rate of events per second, smoothed over a time constant that each call passes.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingRate {
    /// Rate just after the last event, per second.
    per_second: f64,
    /// When the last event occurred, in milliseconds.
    added_ms: f64,
}

impl DecayingRate {
    /// Returns the rate per second at `now_ms`. Without events it falls to 1/e of its value in one time
    /// constant.
    pub(crate) fn per_second_at(&self, now_ms: f64, time_constant_s: f64) -> f64 {
        self.per_second * (-(now_ms - self.added_ms) / 1000.0 / time_constant_s).exp()
    }

    /// Returns the rate per second at `now_ms`, for use as a divisor: it is never 0.
    pub(crate) fn nonzero_per_second_at(&self, now_ms: f64, time_constant_s: f64) -> f64 {
        self.per_second_at(now_ms, time_constant_s).max(MIN_DIVISOR_PER_SECOND)
    }

    /// Counts `amount` events at `now_ms`. With a steady stream of events, the rate converges to that of the
    /// stream.
    pub(crate) fn add(&mut self, amount: f64, now_ms: f64, time_constant_s: f64) {
        self.per_second = self.per_second_at(now_ms, time_constant_s) + amount / time_constant_s;
        self.added_ms = now_ms;
    }
}
