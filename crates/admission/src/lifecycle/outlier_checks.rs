//! Gathers the inputs of the outlier detection rules.
use crate::event::AttemptEnd;
use crate::gateway::Gateway;
use crate::id::ClassIndex;
use crate::policy::observation::OBSERVATION_TIME_CONSTANT_S;
use crate::policy::outlier;
use crate::policy::outlier::{EjectionDecision, EjectionInput, OutlierInput, StallInput, UnresponsiveInput};
use crate::state::{Endpoint, FleetMode};

impl Gateway {
    /// Records whether so many endpoints look like outliers that the endpoints are not the cause.
    pub(crate) fn detect_correlated_failure(&mut self) {
        let ready = self.endpoints.ready().count();
        let healthy = self.endpoints.ready().filter(|endpoint| !self.is_outlier(endpoint)).count();
        self.outliers.set_correlated_failure(outlier::is_correlated_failure(healthy, ready));
    }

    /// Returns whether this gateway's own attempts show a fault of an endpoint, or the endpoint is no longer
    /// listed.
    pub(crate) fn is_outlier(&self, endpoint: &Endpoint) -> bool {
        outlier::is_outlier(&OutlierInput {
            is_gone: endpoint.is_gone(),
            is_ejected: endpoint.health.is_ejected(self.clock.now_ms()),
            stall_ratio: self.stall_ratio(endpoint),
        })
    }

    /// Returns the time without any response while attempts are in flight, in multiples of the time that
    /// counts as a stall; 0 if no attempt is in flight.
    pub(crate) fn stall_ratio(&self, endpoint: &Endpoint) -> f64 {
        let Some(oldest_sent_ms) = endpoint.oldest_sent_ms() else { return 0.0 };
        outlier::stall_ratio(&StallInput {
            now_ms: self.clock.now_ms(),
            oldest_sent_ms,
            last_response_ms: endpoint.health.last_response_ms(),
            in_flight: endpoint.in_flight().len(),
            relative_response_time: endpoint.response_time.last_recorded(),
            warm_fraction: self.warm_fraction(endpoint),
            usual_response_ms: outlier::usual_response_ms(
                self.latency.mean_response_ms(),
                self.latency.typical_attempt_age_ms(),
            ),
        })
    }

    /// Returns whether the fleet no longer gets good responses from an endpoint. Always `false` in broadcast
    /// mode, where gateways exchange no observations that would show it.
    pub(crate) fn is_unresponsive(&self, endpoint: &Endpoint) -> bool {
        let now_ms = self.clock.now_ms();
        match self.coordination.fleet_mode() {
            FleetMode::Broadcast => false,
            FleetMode::LargeFleet => outlier::is_unresponsive(&UnresponsiveInput {
                failure_observations: endpoint.observed_health.failure_observations(),
                since_good_response_ms: endpoint.observed_health.since_good_response_ms(now_ms),
                observed_responses_per_second: self
                    .outliers
                    .observed_responses_per_second(now_ms, OBSERVATION_TIME_CONSTANT_S),
                endpoints: self.endpoints.len(),
            }),
        }
    }

    /// Returns whether the end of an attempt pauses or ejects its endpoint. The endpoint's health must have
    /// recorded that end already.
    pub(crate) fn ejection_decision(
        &self,
        endpoint: &Endpoint,
        end: &AttemptEnd,
        class: ClassIndex,
    ) -> EjectionDecision {
        let input = EjectionInput {
            outcome: end.outcome,
            took_ms: end.took_ms,
            error_fraction: endpoint.health.error_fraction(),
            consecutive_failures: endpoint.health.consecutive_failures(),
            since_response_ms: endpoint.health.since_response_ms(self.clock.now_ms()),
            class_response_ms: self.latency.floored_response_ms(class),
            typical_attempt_age_ms: self.latency.typical_attempt_age_ms(),
        };
        match self.coordination.fleet_mode() {
            FleetMode::Broadcast => outlier::decide_ejection_in_broadcast_mode(&input),
            FleetMode::LargeFleet => outlier::decide_ejection_in_large_fleet(&input),
        }
    }

    /// Measures the typical age of this gateway's attempts in flight, in broadcast mode.
    pub(crate) fn update_typical_attempt_age(&mut self) {
        let now_ms = self.clock.now_ms();
        let ages_ms = self.endpoints.iter().map(|endpoint| endpoint.mean_in_flight_age_ms(now_ms));
        let typical_ms = outlier::typical_attempt_age_ms(ages_ms, self.latency.mean_response_ms());
        self.latency.set_typical_attempt_age_ms(typical_ms);
    }
}
