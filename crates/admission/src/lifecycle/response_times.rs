//! Learns response times from this gateway's own attempts.
use crate::event::AttemptEnd;
use crate::gateway::Gateway;
use crate::id::ClassIndex;
use crate::policy::response_time;
use crate::policy::response_time::{
    KindDeviation, OwnAttemptInput, OwnAttemptSamples, ResponseTimeSample, OWN_RESPONSE_TIME_GAIN,
};
use crate::policy::slow_start::is_past_warm_up;
use crate::state::Endpoint;

impl Gateway {
    /// Returns how far the response time of an endpoint, as the fleet observes it, is above the usual one of
    /// its machine kind.
    pub(crate) fn kind_deviation(&self, endpoint: &Endpoint) -> KindDeviation {
        let learned_baseline = self.latency.kind_baseline(endpoint.kind());
        response_time::kind_deviation(learned_baseline, &endpoint.response_time, self.clock.now_ms())
    }

    /// Learns response times from the end of one of this gateway's attempts, in broadcast mode.
    pub(crate) fn learn_response_time(&mut self, end: &AttemptEnd, class: ClassIndex) {
        let Some(input) = self.own_attempt(end, class) else { return };
        let OwnAttemptSamples { relative, class_response_ms, objective_fraction } =
            response_time::samples_in_broadcast_mode(&input);
        let now_ms = self.clock.now_ms();
        if let Some(endpoint) = self.endpoints.get_mut(end.endpoint) {
            let since_response_ms = endpoint.health.since_response_ms(now_ms);
            let learned = &mut endpoint.response_time;
            match relative {
                Some(ResponseTimeSample::Measured(sample)) => {
                    learned.record_own(since_response_ms, sample, OWN_RESPONSE_TIME_GAIN);
                }
                Some(ResponseTimeSample::AtLeast(sample)) => {
                    learned.record_own_at_least(since_response_ms, sample, OWN_RESPONSE_TIME_GAIN);
                }
                None => {}
            }
        }
        if let Some(sample_ms) = class_response_ms {
            self.latency.record_response_ms(class, sample_ms);
        }
        match objective_fraction {
            Some(ResponseTimeSample::Measured(sample)) => self.latency.record_own_fraction(sample),
            Some(ResponseTimeSample::AtLeast(sample)) => self.latency.record_own_fraction_at_least(sample),
            None => {}
        }
    }

    /// Learns the mean response time of a class from the end of one of this gateway's attempts, in a large
    /// fleet.
    pub(crate) fn learn_mean_response_time(&mut self, end: &AttemptEnd, class: ClassIndex) {
        let Some(input) = self.own_attempt(end, class) else { return };
        if let Some(sample_ms) = response_time::class_sample_in_large_fleet(&input) {
            self.latency.record_response_ms(class, sample_ms);
        }
    }

    /// Returns what the response time rules need to know of an ended attempt; `None` if its endpoint is no
    /// longer known.
    fn own_attempt(&self, end: &AttemptEnd, class: ClassIndex) -> Option<OwnAttemptInput> {
        let endpoint = self.endpoints.get(end.endpoint)?;
        Some(OwnAttemptInput {
            outcome: end.outcome,
            took_ms: end.took_ms,
            class_response_ms: self.latency.floored_response_ms(class),
            latency_objective_ms: self.settings.class(class).latency_objective_ms,
            is_past_warm_up: is_past_warm_up(endpoint.age_ms(self.clock.now_ms()), self.settings.warm_up_ms),
        })
    }
}
