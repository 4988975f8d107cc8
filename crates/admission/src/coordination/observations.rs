//! Large fleets: what gateways observe about endpoints, and how they apply each other's observations.
use crate::event::{AttemptEnd, Outcome};
use crate::gateway::Gateway;
use crate::id::{ClassIndex, EndpointId, PlanIndex};
use crate::mechanism::splitmix64::short_tag;
use crate::messages::observation_code::{Observation, ObservationKind, ResponseTimeCode};
use crate::policy::observation::{observation_of_attempt, MAX_OBSERVATIONS, OBSERVATION_TIME_CONSTANT_S};
use crate::policy::outlier::{ejection_jitter, is_class_ejection_due, CLASS_FAILURE_GAIN, SCOPED_EJECTION};
use crate::policy::quota_owner::owner_sampling::RATE_TIME_CONSTANT_S;
use crate::policy::response_time::{kind_sample, OBSERVED_RESPONSE_TIME_GAIN};
use crate::policy::slow_start::is_past_warm_up;
use crate::state::{EjectionScope, InFlightAttemptWithClass};

impl Gateway {
    /// Records what the end of an attempt of this gateway shows about its endpoint.
    pub(crate) fn observe_attempt(&mut self, end: &AttemptEnd, class: ClassIndex, plan: PlanIndex) {
        if end.outcome == Outcome::Ok {
            self.fleet_means.record_response(self.clock.now_ms(), RATE_TIME_CONSTANT_S);
            if let Some(endpoint) = self.endpoints.get_mut(end.endpoint) {
                endpoint.observed_health.record_own_success(class, plan);
            }
        }
        let objective_fraction = end.took_ms / self.settings.class(class).latency_objective_ms;
        if let Some(kind) = observation_of_attempt(end.outcome, class, plan, objective_fraction) {
            self.record_observation(end.endpoint, kind);
        }
    }

    /// Records an observation of kind `Failed` for each attempt in flight of this gateway that has become
    /// slow since the last round of upkeep.
    pub(crate) fn observe_slow_attempts(&mut self) {
        let slow = self.requests.attempts_in_flight().filter(|attempt| self.has_become_slow(attempt));
        for InFlightAttemptWithClass { endpoint, class, .. } in slow.collect::<Vec<_>>() {
            self.record_observation(endpoint, ObservationKind::Failed { class });
        }
    }

    /// Applies an observation of this gateway, and keeps it to be sent with the next messages.
    fn record_observation(&mut self, endpoint: EndpointId, kind: ObservationKind) {
        let observation = Observation { endpoint: short_tag(endpoint.0), kind };
        self.apply_observation(observation);
        self.recent_observations.push(observation, MAX_OBSERVATIONS);
    }

    /// Applies an observation, whether made by this gateway or received from a peer.
    pub(crate) fn apply_observation(&mut self, observation: Observation) {
        match observation.kind {
            ObservationKind::Overloaded { plan } => self.apply_overload(observation.endpoint, plan),
            ObservationKind::Failed { class } => self.apply_failure(observation.endpoint, class),
            ObservationKind::Responded { class, response_time } => {
                self.apply_response(observation.endpoint, class, response_time);
            }
        }
    }

    /// Ejects an endpoint for a plan after it rejected an attempt of this plan's request as overloaded.
    fn apply_overload(&mut self, tag: u32, plan: PlanIndex) {
        let (now_ms, jitter) = (self.clock.now_ms(), self.observation_jitter(tag));
        if let Some(endpoint) = self.endpoints.get_by_tag_mut(tag) {
            endpoint.observed_health.eject(EjectionScope::Plan(plan), now_ms, SCOPED_EJECTION, jitter);
        }
    }

    /// Records that an endpoint failed a request of a class, and ejects it for this class if it fails many.
    fn apply_failure(&mut self, tag: u32, class: ClassIndex) {
        let (now_ms, jitter) = (self.clock.now_ms(), self.observation_jitter(tag));
        let Some(endpoint) = self.endpoints.get_by_tag_mut(tag) else { return };
        let failed_fraction = endpoint.observed_health.record_failure(class, CLASS_FAILURE_GAIN);
        if is_class_ejection_due(failed_fraction) {
            endpoint.observed_health.eject(EjectionScope::Class(class), now_ms, SCOPED_EJECTION, jitter);
        }
    }

    /// Records that an endpoint sent a good response to a request of a class.
    fn apply_response(&mut self, tag: u32, class: ClassIndex, response_time: ResponseTimeCode) {
        let now_ms = self.clock.now_ms();
        let Some(endpoint) = self.endpoints.get_by_tag_mut(tag) else { return };
        endpoint.observed_health.record_good_response(class, now_ms, CLASS_FAILURE_GAIN);
        self.outliers.record_observed_response(now_ms, OBSERVATION_TIME_CONSTANT_S);
        let objective_fraction = response_time.objective_fraction();
        let relative = self.latency.relative_to_mean(objective_fraction);
        let baseline = self.latency.kind_baseline(endpoint.kind());
        endpoint.response_time.record_observed(now_ms, relative, baseline, OBSERVED_RESPONSE_TIME_GAIN);
        if is_past_warm_up(endpoint.age_ms(now_ms), self.settings.warm_up_ms) {
            self.latency.record_kind_response_time(endpoint.kind(), kind_sample(relative));
            self.latency.record_observed_fraction(objective_fraction);
        }
    }

    /// Returns the factor on the length of an ejection for a class or plan. It is a hash rather than the next
    /// random number, so that messages don't change the sequence of random numbers.
    fn observation_jitter(&self, tag: u32) -> f64 {
        ejection_jitter((self.random.hash(u64::from(tag)) % 1000) as f64 / 1000.0)
    }
}
