//! What is learned of endpoints from attempts and from peers.
use crate::event::{AttemptEnd, Outcome};
use crate::gateway::Gateway;
use crate::id::EndpointId;
use crate::mechanism::backoff::exponential_backoff_ms;
use crate::mechanism::decaying_rate::DecayingRate;
use crate::mechanism::smoothing::smooth;
use crate::mechanism::splitmix64::short_tag;
use crate::messages::observation::{Observation, ObservationKind, ResponseTimeCode};
use crate::policy::outlier_detection::{
    CLASS_FAILURE_GAIN, MAX_CLASS_FAILURE_FRACTION, MAX_EJECTION_MS, MAX_OBSERVATIONS, OBSERVATION_SPAN_S,
    SCOPED_EJECTION_MS,
};
use crate::policy::quota_owner::QUOTA_RATE_SPAN_S;
use crate::state::endpoint::EjectionScope;
use std::collections::BTreeMap;

/// Learned response times.
#[derive(Debug, Default)]
pub(crate) struct LatencyModel {
    /// Smoothed response time in parts of the latency objective.
    pub(crate) objective_fraction: f64,
    /// Smoothed response time of each class.
    pub(crate) mean_by_class_ms: Vec<f64>,
    /// The commonest time left in each class, and how sure that is.
    pub(crate) time_budgets: Vec<(f64, i32)>,
    /// Age of own attempts in flight at an endpoint that is not among the slowest.
    pub(crate) typical_age_ms: f64,
    /// Relative response time by kind of machine.
    pub(crate) kind_baseline: BTreeMap<usize, f64>,
}

/// What is known of failures beyond single endpoints.
#[derive(Debug, Default)]
pub(crate) struct OutlierDetector {
    /// Most endpoints look ill, so the cause is not theirs.
    pub(crate) correlated_failure: bool,
    /// Answers of endpoints observed or received a second.
    pub(crate) observation_rate: DecayingRate,
}

impl Gateway {
    /// Takes an own observation in and keeps it for telling.
    pub(crate) fn record_observation(&mut self, endpoint: EndpointId, kind: ObservationKind) {
        let seen = Observation { endpoint: short_tag(endpoint.0), kind };
        self.apply_observation(seen);
        self.recent_observations.push(seen, MAX_OBSERVATIONS);
    }

    /// Learns from an observation, own or told.
    pub(crate) fn apply_observation(&mut self, seen: Observation) {
        let now = self.clock.now_ms;
        let Some(id) = self.endpoints.by_tag.get(&seen.endpoint) else { return };
        let jitter = 0.75 + 0.5 * (self.random.hash(u64::from(seen.endpoint)) % 1000) as f64 / 1000.0;
        let Some(endpoint) = self.endpoints.by_id.get_mut(id) else { return };
        let cold = endpoint.started_ms.is_some_and(|s| now - s < self.settings.warm_up_ms);
        let (class, response_time) = match seen.kind {
            ObservationKind::Rejected { plan } => {
                let mark = endpoint.scoped_ejections.entry(EjectionScope::Plan(plan)).or_insert((0.0, 0));
                if now >= mark.0 {
                    let backoff = exponential_backoff_ms(SCOPED_EJECTION_MS, MAX_EJECTION_MS, mark.1);
                    *mark = (now + backoff * jitter, mark.1 + 1);
                }
                return;
            }
            ObservationKind::Failed { class } => (class, None),
            ObservationKind::Answered { class, response_time } => (class, Some(response_time)),
        };
        if response_time.is_none() {
            endpoint.missed_responses += 1;
        } else {
            (endpoint.last_response_ms, endpoint.missed_responses) = (now, 0);
            self.outliers.observation_rate.add(1.0, now, OBSERVATION_SPAN_S);
        }
        let bad = endpoint.class_failure_fraction.entry(class).or_insert(0.0);
        smooth(bad, f64::from(u32::from(response_time.is_none())), CLASS_FAILURE_GAIN);
        let Some(response_time) = response_time else {
            let mark = endpoint.scoped_ejections.entry(EjectionScope::Class(class)).or_insert((0.0, 0));
            if now >= mark.0 && *bad > MAX_CLASS_FAILURE_FRACTION {
                let backoff = exponential_backoff_ms(SCOPED_EJECTION_MS, MAX_EJECTION_MS, mark.1);
                *mark = (now + backoff * jitter, mark.1 + 1);
            }
            return;
        };
        let part = response_time.objective_fraction();
        let ratio = part / self.latency.objective_fraction.max(0.01);
        let base = self.latency.kind_baseline.entry(endpoint.kind).or_insert(1.0);
        endpoint.relative_response_time = endpoint.relative_response_time_from(now, *base);
        smooth(&mut endpoint.relative_response_time, ratio, 0.12);
        endpoint.observed_ms = now;
        if !cold {
            smooth(base, ratio.min(4.0), 0.02);
            smooth(&mut self.latency.objective_fraction, part, 0.02);
        }
    }

    /// Keeps what an attempt's end shows of its endpoint, for telling and for the own view.
    pub(crate) fn observe_attempt(&mut self, end: &AttemptEnd, class: usize, plan: usize) {
        let aim = self.settings.classes[class].latency_objective_ms;
        match end.outcome {
            Outcome::Ok => {
                self.fleet_means.record_response(self.clock.now_ms, QUOTA_RATE_SPAN_S);
                if let Some(endpoint) = self.endpoints.by_id.get_mut(&end.endpoint) {
                    endpoint.scoped_ejections.remove(&EjectionScope::Class(class));
                    // A endpoint that turns a plan away above a rate still takes some of it.
                    if let Some(mark) = endpoint.scoped_ejections.get_mut(&EjectionScope::Plan(plan)) {
                        mark.1 = mark.1.saturating_sub(1);
                    }
                }
                let response_time = ResponseTimeCode::from_objective_fraction(end.took_ms / aim);
                self.record_observation(end.endpoint, ObservationKind::Answered { class, response_time });
            }
            Outcome::Overloaded => self.record_observation(end.endpoint, ObservationKind::Rejected { plan }),
            // A time-out is no sign of life, and tells of this endpoint, not of how slow the fleet is.
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed | Outcome::TimedOut => {
                self.record_observation(end.endpoint, ObservationKind::Failed { class })
            }
            Outcome::Cancelled | Outcome::TooLate => {}
        }
    }

    pub(crate) fn mean_response_ms(&self) -> f64 {
        self.latency.mean_by_class_ms.iter().sum::<f64>() / self.latency.mean_by_class_ms.len() as f64
    }
}
