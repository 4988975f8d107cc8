//! What is known of failures beyond single endpoints.
use crate::mechanism::decaying_rate::DecayingRate;

/// What is known of failures beyond single endpoints.
#[derive(Debug, Default)]
pub(crate) struct OutlierDetectionState {
    /// Most endpoints look like outliers.
    correlated_failure: bool,
    /// Responses of endpoints a second that the fleet observes, as far as this gateway is notified.
    response_rate: DecayingRate,
}

impl OutlierDetectionState {
    /// Whether most endpoints look like outliers, so that the cause is not theirs.
    pub(crate) fn is_correlated_failure(&self) -> bool {
        self.correlated_failure
    }

    /// Sets whether most endpoints look like outliers.
    pub(crate) fn set_correlated_failure(&mut self, correlated: bool) {
        self.correlated_failure = correlated;
    }

    /// Counts a response that some gateway observed; the rate is smoothed over `span_s` seconds.
    pub(crate) fn record_observed_response(&mut self, now_ms: f64, span_s: f64) {
        self.response_rate.add(1.0, now_ms, span_s);
    }

    /// Responses a second that the fleet observes.
    pub(crate) fn observed_responses_per_second(&self, now_ms: f64, span_s: f64) -> f64 {
        self.response_rate.now(now_ms, span_s)
    }
}
