//! How the records of endpoints follow what happens: how attempts end, and the time that passes.
//!
//! The figures and the decisions lie in `policy::outlier_detection` and `policy::slow_start`.
use crate::event::{AttemptEnd, Outcome};
use crate::gateway::Gateway;
use crate::id::{ClassIndex, PlanIndex};
use crate::mechanism::backoff::jitter_factor;
use crate::mechanism::percentile::percentile;
use crate::policy::outlier_detection::{
    EJECTION, EJECTION_JITTER, ERROR_GAIN, IDLE_AGE_FRACTION, OVERLOAD_EJECTION_FRACTION,
    TYPICAL_AGE_PERCENTILE,
};
use crate::state::Endpoint;

impl Gateway {
    /// Learns an endpoint's speed and health from how an attempt ended.
    pub(crate) fn record_attempt_end(&mut self, end: &AttemptEnd, class: ClassIndex, plan: PlanIndex) {
        let is_small_fleet = self.coordination.is_broadcast();
        if !is_small_fleet {
            self.observe_attempt(end, class, plan);
        }
        let now_ms = self.clock.now_ms();
        let jitter = jitter_factor(EJECTION_JITTER, self.random.next_fraction());
        if is_small_fleet {
            self.learn_response_time(end, class);
        } else {
            self.learn_mean_response_time(end, class);
        }
        let Some(endpoint) = self.endpoints.get_mut(end.endpoint) else { return };
        endpoint.remove_in_flight(end.request, end.attempt);
        endpoint.health.record_outcome(end.outcome, now_ms, ERROR_GAIN);
        if end.outcome == Outcome::Overloaded && is_small_fleet {
            endpoint.health.pause_until(now_ms + OVERLOAD_EJECTION_FRACTION * EJECTION.base_ms * jitter);
        }
        if self.is_failure(end, class) {
            if let Some(endpoint) = self.endpoints.get_mut(end.endpoint) {
                endpoint.health.eject(now_ms, EJECTION, jitter);
            }
        }
        self.endpoints.remove_if_finished(end.endpoint);
    }

    /// Small fleets: takes the age of own attempts at an endpoint that is not among the slowest. Each
    /// endpoint counts once, so that work piled up on a hung zone does not outweigh the rest.
    pub(crate) fn update_typical_age(&mut self) {
        let idle_age_ms = IDLE_AGE_FRACTION * self.latency.mean_response_ms();
        let age = |e: &Endpoint| e.mean_in_flight_age_ms(self.clock.now_ms()).unwrap_or(idle_age_ms);
        let ages = self.endpoints.iter().map(age).collect();
        self.latency.set_typical_age_ms(percentile(ages, TYPICAL_AGE_PERCENTILE).unwrap_or(0.0));
    }
}
