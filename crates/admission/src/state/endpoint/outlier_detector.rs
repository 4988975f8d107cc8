//! What is known of failures beyond single endpoints.
use crate::mechanism::decaying_rate::DecayingRate;

/// What is known of failures beyond single endpoints.
#[derive(Debug, Default)]
pub(crate) struct OutlierDetector {
    /// Most endpoints look like outliers.
    correlated_failure: bool,
    /// Answers of endpoints a second that the fleet observed, as far as this gateway learns of them.
    response_rate: DecayingRate,
}

impl OutlierDetector {
    /// Whether most endpoints look like outliers, so that the cause is not theirs.
    pub(crate) fn is_correlated_failure(&self) -> bool {
        self.correlated_failure
    }

    /// Sets whether most endpoints look like outliers.
    pub(crate) fn set_correlated_failure(&mut self, correlated: bool) {
        self.correlated_failure = correlated;
    }

    /// Counts an answer that some gateway observed; the rate is smoothed over `span_s`.
    pub(crate) fn record_observed_response(&mut self, now_ms: f64, span_s: f64) {
        self.response_rate.add(1.0, now_ms, span_s);
    }

    /// Answers a second that the fleet observed.
    pub(crate) fn observed_responses_per_second(&self, now_ms: f64, span_s: f64) -> f64 {
        self.response_rate.now(now_ms, span_s)
    }
}
