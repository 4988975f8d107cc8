//! What is learned of endpoints from attempts and from peers.
use crate::event::{AttemptEnd, Outcome};
use crate::gateway::Gateway;
use crate::id::EndpointId;
use crate::mechanism::decaying_rate::DecayingRate;
use crate::mechanism::splitmix64::{mix, short_tag};
use crate::messages::gossip::{seen_answer, seen_part, Observation, SEEN_CLASS, SEEN_FAILED, SEEN_PLAN};
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
    pub(crate) fn record_observation(&mut self, endpoint: EndpointId, what: u32) {
        let seen = Observation { endpoint: short_tag(endpoint.0), what };
        self.apply_observation(seen);
        if self.gossip.observations.back() != Some(&seen) {
            self.gossip.observations.push_back(seen);
        }
        while self.gossip.observations.len() > MAX_OBSERVATIONS {
            self.gossip.observations.pop_front();
        }
    }

    /// Learns from an observation, own or told.
    pub(crate) fn apply_observation(&mut self, seen: Observation) {
        let now = self.clock.now_ms;
        let Some(id) = self.endpoints.by_tag.get(&seen.endpoint) else { return };
        let jitter = 0.75 + 0.5 * (mix(self.random ^ seen.endpoint as u64) % 1000) as f64 / 1000.0;
        let Some(endpoint) = self.endpoints.by_id.get_mut(id) else { return };
        let cold = endpoint.started_ms.is_some_and(|s| now - s < self.settings.warm_up_ms);
        if seen.what >= SEEN_PLAN {
            let mark = endpoint
                .scoped_ejections
                .entry(EjectionScope::Plan((seen.what - SEEN_PLAN) as usize))
                .or_insert((0.0, 0));
            if now >= mark.0 {
                let backoff = (SCOPED_EJECTION_MS * f64::from(1u32 << mark.1.min(8))).min(MAX_EJECTION_MS);
                *mark = (now + backoff * jitter, mark.1 + 1);
            }
            return;
        }
        let (class, how) = ((seen.what / SEEN_CLASS) as usize, seen.what % SEEN_CLASS);
        if how == SEEN_FAILED {
            endpoint.missed_responses += 1;
        } else {
            (endpoint.last_response_ms, endpoint.missed_responses) = (now, 0);
            self.outliers.observation_rate.add(1.0, now, OBSERVATION_SPAN_S);
        }
        let bad = endpoint.class_failure_fraction.entry(class).or_insert(0.0);
        *bad += CLASS_FAILURE_GAIN * (f64::from(u32::from(how == SEEN_FAILED)) - *bad);
        if how == SEEN_FAILED {
            let mark = endpoint.scoped_ejections.entry(EjectionScope::Class(class)).or_insert((0.0, 0));
            if now >= mark.0 && *bad > MAX_CLASS_FAILURE_FRACTION {
                let backoff = (SCOPED_EJECTION_MS * f64::from(1u32 << mark.1.min(8))).min(MAX_EJECTION_MS);
                *mark = (now + backoff * jitter, mark.1 + 1);
            }
            return;
        }
        let part = seen_part(how);
        let ratio = part / self.latency.objective_fraction.max(0.01);
        let base = self.latency.kind_baseline.entry(endpoint.kind).or_insert(1.0);
        let fade = endpoint.relative_response_time_from(now, *base);
        endpoint.relative_response_time = fade + 0.12 * (ratio - fade);
        endpoint.observed_ms = now;
        if !cold {
            *base += 0.02 * (ratio.min(4.0) - *base);
            self.latency.objective_fraction += 0.02 * (part - self.latency.objective_fraction);
        }
    }

    /// Keeps what an attempt's end shows of its endpoint, for telling and for the own view.
    pub(crate) fn observe_attempt(&mut self, end: &AttemptEnd, class: usize, plan: usize) {
        let aim = self.settings.classes[class].latency_objective_ms;
        let base = SEEN_CLASS * class as u32;
        match end.outcome {
            Outcome::Ok => {
                self.gossip.answer_rate.add(1.0, self.clock.now_ms, QUOTA_RATE_SPAN_S);
                if let Some(endpoint) = self.endpoints.by_id.get_mut(&end.endpoint) {
                    endpoint.scoped_ejections.remove(&EjectionScope::Class(class));
                    // A endpoint that turns a plan away above a rate still takes some of it.
                    if let Some(mark) = endpoint.scoped_ejections.get_mut(&EjectionScope::Plan(plan)) {
                        mark.1 = mark.1.saturating_sub(1);
                    }
                }
                self.record_observation(end.endpoint, seen_answer(class, end.took_ms / aim));
            }
            Outcome::Overloaded => self.record_observation(end.endpoint, SEEN_PLAN + plan as u32),
            // A time-out is no sign of life, and tells of this endpoint, not of how slow the fleet is.
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed | Outcome::TimedOut => {
                self.record_observation(end.endpoint, base + SEEN_FAILED)
            }
            Outcome::Cancelled | Outcome::TooLate => {}
        }
    }

    pub(crate) fn mean_response_ms(&self) -> f64 {
        self.latency.mean_by_class_ms.iter().sum::<f64>() / self.latency.mean_by_class_ms.len() as f64
    }
}
