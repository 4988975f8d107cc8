//! The state of outlier detection that concerns all endpoints together.
use crate::mechanism::decaying_rate::DecayingRate;

/// The state of outlier detection that concerns all endpoints together.
#[derive(Debug, Default)]
pub(crate) struct OutlierDetectionState {
    /// More than three quarters of the ready endpoints are outliers.
    correlated_failure: bool,
    /// Rate of good responses that this gateway and those it receives messages from observe, per second.
    response_rate: DecayingRate,
}

impl OutlierDetectionState {
    /// Returns whether more than three quarters of the ready endpoints are outliers, so that the cause must
    /// lie outside them.
    pub(crate) fn is_correlated_failure(&self) -> bool {
        self.correlated_failure
    }

    /// Sets whether more than three quarters of the ready endpoints are outliers.
    pub(crate) fn set_correlated_failure(&mut self, correlated: bool) {
        self.correlated_failure = correlated;
    }

    /// Counts a good response that any gateway observed. The rate is smoothed over `time_constant_s` seconds.
    pub(crate) fn record_observed_response(&mut self, now_ms: f64, time_constant_s: f64) {
        self.response_rate.add(1.0, now_ms, time_constant_s);
    }

    /// Returns the rate of observed good responses, per second.
    pub(crate) fn observed_responses_per_second(&self, now_ms: f64, time_constant_s: f64) -> f64 {
        self.response_rate.per_second_at(now_ms, time_constant_s)
    }
}
