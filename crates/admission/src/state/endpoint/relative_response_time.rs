//! An endpoint's response time as a multiple of the mean.
use crate::mechanism::smoothing::{decay_towards, smooth};

/// An endpoint's smoothed response time as a multiple of the mean. In broadcast mode it is learned from this
/// gateway's attempts, in large fleets from the observations of all gateways.
#[derive(Debug)]
pub(crate) struct RelativeResponseTime {
    /// The multiple when a sample was last recorded.
    value: f64,
    /// When any gateway last observed a good response, in ms.
    observed_ms: f64,
    /// Time in which the distance to the usual value halves, in ms. It is counted from the endpoint's last
    /// response of any kind to this gateway in `own_estimate`, and from `observed_ms` in `observed_estimate`.
    half_life_ms: f64,
}

impl RelativeResponseTime {
    /// Creates a relative response time of 1, as of `now_ms`.
    pub(crate) fn new(now_ms: f64, half_life_ms: f64) -> Self {
        RelativeResponseTime { value: 1.0, observed_ms: now_ms, half_life_ms }
    }

    /// Returns the relative response time when a sample was last recorded.
    pub(crate) fn last_recorded(&self) -> f64 {
        self.value
    }

    /// Returns the relative response time as this gateway's attempts show it. Without responses it returns to
    /// 1; `since_response_ms` is the time since the endpoint last responded to one of these attempts.
    pub(crate) fn own_estimate(&self, since_response_ms: f64) -> f64 {
        decay_towards(1.0, self.value, since_response_ms, self.half_life_ms)
    }

    /// Records the response time of one of this gateway's attempts.
    pub(crate) fn record_own(&mut self, since_response_ms: f64, sample: f64, gain: f64) {
        self.value = self.own_estimate(since_response_ms);
        smooth(&mut self.value, sample, gain);
    }

    /// Records that one of this gateway's attempts got no response within a time. `sample` is a lower bound,
    /// so it never lowers the smoothed value.
    pub(crate) fn record_own_at_least(&mut self, since_response_ms: f64, sample: f64, gain: f64) {
        let current = self.own_estimate(since_response_ms);
        self.record_own(since_response_ms, sample.max(current), gain);
    }

    /// Returns the relative response time as the fleet observes it. Without observations it returns to
    /// `baseline`, the usual value of the endpoint's machine kind.
    pub(crate) fn observed_estimate(&self, now_ms: f64, baseline: f64) -> f64 {
        decay_towards(baseline, self.value, now_ms - self.observed_ms, self.half_life_ms)
    }

    /// Records a response time that any gateway of the fleet observed.
    pub(crate) fn record_observed(&mut self, now_ms: f64, sample: f64, baseline: f64, gain: f64) {
        self.value = self.observed_estimate(now_ms, baseline);
        smooth(&mut self.value, sample, gain);
        self.observed_ms = now_ms;
    }
}
