//! An endpoint's response time over what is usual.
use crate::mechanism::smoothing::{decay_towards, smooth};

/// An endpoint's response time over what is usual, smoothed. In broadcast mode it is learned from own
/// attempts, in large fleets from what their gateways observe.
#[derive(Debug)]
pub(crate) struct RelativeResponseTime {
    /// The value when it was last recorded; it has no unit.
    value: f64,
    /// When some gateway last observed it, in ms.
    observed_ms: f64,
    /// Without samples, the distance to what is usual halves in this time, in ms.
    half_life_ms: f64,
}

impl RelativeResponseTime {
    /// What is usual, as at `now_ms`.
    pub(crate) fn new(now_ms: f64, half_life_ms: f64) -> Self {
        RelativeResponseTime { value: 1.0, observed_ms: now_ms, half_life_ms }
    }

    /// As last recorded.
    pub(crate) fn last_recorded(&self) -> f64 {
        self.value
    }

    /// As own attempts show it, of which none got a response for `since_response_ms`. It returns to 1.
    pub(crate) fn own_estimate(&self, since_response_ms: f64) -> f64 {
        decay_towards(1.0, self.value, since_response_ms, self.half_life_ms)
    }

    /// Records the response time of an own attempt.
    pub(crate) fn record_own(&mut self, since_response_ms: f64, sample: f64, gain: f64) {
        self.value = self.own_estimate(since_response_ms);
        smooth(&mut self.value, sample, gain);
    }

    /// Records that an own attempt got no response within a time. The sample can only be too low, so that it
    /// never lowers the smoothed value.
    pub(crate) fn record_own_at_least(&mut self, since_response_ms: f64, sample: f64, gain: f64) {
        let current = self.own_estimate(since_response_ms);
        self.record_own(since_response_ms, sample.max(current), gain);
    }

    /// As the fleet observes it. Without observations it returns to `baseline`, what is usual of its kind.
    pub(crate) fn observed_estimate(&self, now_ms: f64, baseline: f64) -> f64 {
        decay_towards(baseline, self.value, now_ms - self.observed_ms, self.half_life_ms)
    }

    /// Records what some gateway observed.
    pub(crate) fn record_observed(&mut self, now_ms: f64, sample: f64, baseline: f64, gain: f64) {
        self.value = self.observed_estimate(now_ms, baseline);
        smooth(&mut self.value, sample, gain);
        self.observed_ms = now_ms;
    }
}
