//! An endpoint's response time over what is usual.
use crate::mechanism::smoothing::{decay_towards, smooth};

/// An endpoint's relative response time beside that of its machine kind.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct KindDeviation {
    /// Usual relative response time of the kind.
    pub(crate) baseline: f64,
    /// The endpoint's over that of a clearly slow one of its kind; at least 1.
    pub(crate) excess: f64,
}

/// An endpoint's response time over what is usual, smoothed. Small fleets learn it from own attempts, large
/// ones from what their gateways observe.
#[derive(Debug)]
pub(crate) struct RelativeResponseTime {
    value: f64,
    /// When some gateway last observed it.
    observed_ms: f64,
    /// Without samples, half of the distance to what is usual is forgotten in this time.
    half_life_ms: f64,
}

impl RelativeResponseTime {
    /// What is usual, as at `now_ms`.
    pub(crate) fn new(now_ms: f64, half_life_ms: f64) -> Self {
        RelativeResponseTime { value: 1.0, observed_ms: now_ms, half_life_ms }
    }

    /// As last recorded.
    pub(crate) fn last(&self) -> f64 {
        self.value
    }

    /// As own attempts show it, of which none was answered for `unanswered_ms`. It returns to 1.
    pub(crate) fn own(&self, unanswered_ms: f64) -> f64 {
        decay_towards(1.0, self.value, unanswered_ms, self.half_life_ms)
    }

    /// Records an own attempt that was answered.
    pub(crate) fn record_own(&mut self, unanswered_ms: f64, sample: f64, gain: f64) {
        self.value = self.own(unanswered_ms);
        smooth(&mut self.value, sample, gain);
    }

    /// Records an own attempt that timed out. Its sample can only be too low, so that it never lowers the
    /// smoothed value.
    pub(crate) fn record_own_time_out(&mut self, unanswered_ms: f64, sample: f64, gain: f64) {
        let current = self.own(unanswered_ms);
        self.record_own(unanswered_ms, sample.max(current), gain);
    }

    /// As the fleet observes it. Without observations it returns to `baseline`, what is usual of its kind.
    pub(crate) fn observed(&self, now_ms: f64, baseline: f64) -> f64 {
        decay_towards(baseline, self.value, now_ms - self.observed_ms, self.half_life_ms)
    }

    /// Records what some gateway observed.
    pub(crate) fn record_observed(&mut self, now_ms: f64, sample: f64, baseline: f64, gain: f64) {
        self.value = self.observed(now_ms, baseline);
        smooth(&mut self.value, sample, gain);
        self.observed_ms = now_ms;
    }
}
