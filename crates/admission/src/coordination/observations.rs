//! What gateways of a large fleet observe of endpoints, and learn from each other's observations.
use crate::event::{AttemptEnd, Outcome};
use crate::gateway::Gateway;
use crate::id::{ClassIndex, EndpointId, PlanIndex};
use crate::mechanism::backoff::jitter_factor;
use crate::mechanism::splitmix64::short_tag;
use crate::messages::observation_code::{Observation, ObservationKind, ResponseTimeCode};
use crate::policy::outlier_detection::{
    fails_class, CLASS_FAILURE_GAIN, EJECTION_JITTER, MAX_OBSERVATIONS, MAX_RELATIVE_SAMPLE,
    OBSERVATION_SPAN_S, OBSERVED_RESPONSE_TIME_GAIN, SCOPED_EJECTION,
};
use crate::policy::quota_owner::QUOTA_RATE_SPAN_S;
use crate::policy::slow_start::has_warmed_up;
use crate::state::{EjectionScope, PendingAttempt};

impl Gateway {
    /// Records what an own attempt's end shows of its endpoint.
    pub(crate) fn observe_attempt(&mut self, end: &AttemptEnd, class: ClassIndex, plan: PlanIndex) {
        if end.outcome == Outcome::Ok {
            self.fleet_means.record_response(self.clock.now_ms(), QUOTA_RATE_SPAN_S);
            if let Some(endpoint) = self.endpoints.get_mut(end.endpoint) {
                endpoint.observed.relax_ejections(class, plan);
            }
        }
        let objective_fraction = end.took_ms / self.settings.class(class).latency_objective_ms;
        let response_time = ResponseTimeCode::from_objective_fraction(objective_fraction);
        let kind = match end.outcome {
            Outcome::Ok => ObservationKind::Answered { class, response_time },
            Outcome::Overloaded => ObservationKind::Rejected { plan },
            // A time-out is no sign of life, and shows this endpoint, not how slow the fleet is.
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed | Outcome::TimedOut => {
                ObservationKind::Failed { class }
            }
            Outcome::Cancelled | Outcome::TooLate => return,
        };
        self.record_observation(end.endpoint, kind);
    }

    /// Large fleets: reports own attempts that have begun to take long since the last round of upkeep.
    pub(crate) fn report_long_attempts(&mut self) {
        if self.coordination.is_broadcast() {
            return;
        }
        let turned_long = self.requests.pending_attempts().filter(|pending| self.turned_long(pending));
        for PendingAttempt { endpoint, class, .. } in turned_long.collect::<Vec<_>>() {
            self.record_observation(endpoint, ObservationKind::Failed { class });
        }
    }

    /// Applies an own observation and keeps it for the next messages.
    pub(crate) fn record_observation(&mut self, endpoint: EndpointId, kind: ObservationKind) {
        let observation = Observation { endpoint: short_tag(endpoint.0), kind };
        self.apply_observation(observation);
        self.recent_observations.push(observation, MAX_OBSERVATIONS);
    }

    /// Learns from an observation, own or received.
    pub(crate) fn apply_observation(&mut self, observation: Observation) {
        match observation.kind {
            ObservationKind::Rejected { plan } => self.apply_rejection(observation.endpoint, plan),
            ObservationKind::Failed { class } => self.apply_failure(observation.endpoint, class),
            ObservationKind::Answered { class, response_time } => {
                self.apply_answer(observation.endpoint, class, response_time)
            }
        }
    }

    /// An endpoint turned a request of a plan away: others of the plan are kept away from it for a while.
    fn apply_rejection(&mut self, tag: u32, plan: PlanIndex) {
        let (now_ms, jitter) = (self.clock.now_ms(), self.observation_jitter(tag));
        if let Some(endpoint) = self.endpoints.get_by_tag_mut(tag) {
            endpoint.observed.eject(EjectionScope::Plan(plan), now_ms, SCOPED_EJECTION, jitter);
        }
    }

    /// An endpoint failed a request of a class: once it fails many, others of the class are kept away from it
    /// for a while.
    fn apply_failure(&mut self, tag: u32, class: ClassIndex) {
        let (now_ms, jitter) = (self.clock.now_ms(), self.observation_jitter(tag));
        let Some(endpoint) = self.endpoints.get_by_tag_mut(tag) else { return };
        let failed_fraction = endpoint.observed.record_failure(class, CLASS_FAILURE_GAIN);
        if fails_class(failed_fraction) {
            endpoint.observed.eject(EjectionScope::Class(class), now_ms, SCOPED_EJECTION, jitter);
        }
    }

    /// An endpoint answered a request of a class.
    fn apply_answer(&mut self, tag: u32, class: ClassIndex, response_time: ResponseTimeCode) {
        let now_ms = self.clock.now_ms();
        let Some(endpoint) = self.endpoints.get_by_tag_mut(tag) else { return };
        endpoint.observed.record_response(class, now_ms, CLASS_FAILURE_GAIN);
        self.outliers.record_observed_response(now_ms, OBSERVATION_SPAN_S);
        let objective_fraction = response_time.objective_fraction();
        let relative = self.latency.relative_to_mean(objective_fraction);
        let baseline = self.latency.kind_baseline(endpoint.kind());
        endpoint.response_time.record_observed(now_ms, relative, baseline, OBSERVED_RESPONSE_TIME_GAIN);
        if has_warmed_up(endpoint.age_ms(now_ms), self.settings.warm_up_ms) {
            let sample = relative.min(MAX_RELATIVE_SAMPLE);
            self.latency.record_kind_response_time(endpoint.kind(), sample);
            self.latency.record_observed_fraction(objective_fraction);
        }
    }

    /// Factor on the time of a scoped ejection. It takes no random number, so that messages don't change what
    /// is drawn next.
    fn observation_jitter(&self, tag: u32) -> f64 {
        jitter_factor(EJECTION_JITTER, (self.random.hash(u64::from(tag)) % 1000) as f64 / 1000.0)
    }
}
