//! Updates the records of an endpoint when an attempt at it ends.
use crate::event::AttemptEnd;
use crate::gateway::Gateway;
use crate::id::{ClassIndex, PlanIndex};
use crate::policy::outlier::{
    ejection_jitter, health_evidence, EjectionDecision, HealthEvidence, EJECTION, ERROR_GAIN,
};
use crate::state::{AttemptId, EndpointHealth, FleetMode};

impl Gateway {
    /// Records how an attempt ended in its endpoint's response time and health, and pauses or ejects the
    /// endpoint if the rules say so.
    pub(crate) fn record_attempt_end(&mut self, end: &AttemptEnd, class: ClassIndex, plan: PlanIndex) {
        match self.coordination.fleet_mode() {
            FleetMode::Broadcast => self.learn_response_time(end, class),
            FleetMode::LargeFleet => {
                self.observe_attempt(end, class, plan);
                self.learn_mean_response_time(end, class);
            }
        }
        let now_ms = self.clock.now_ms();
        let jitter = ejection_jitter(self.random.next_fraction());
        let Some(endpoint) = self.endpoints.get_mut(end.endpoint) else { return };
        endpoint.remove_in_flight(AttemptId { request: end.request, attempt: end.attempt });
        record_health(&mut endpoint.health, health_evidence(end.outcome), now_ms);
        let Some(endpoint) = self.endpoints.get(end.endpoint) else { return };
        let decision = self.ejection_decision(endpoint, end, class);
        if let Some(endpoint) = self.endpoints.get_mut(end.endpoint) {
            match decision {
                EjectionDecision::Unchanged => {}
                EjectionDecision::Pause { duration_ms } => {
                    endpoint.health.pause_until(now_ms + duration_ms * jitter);
                }
                EjectionDecision::Eject => endpoint.health.eject(now_ms, EJECTION, jitter),
            }
        }
        self.endpoints.remove_if_finished(end.endpoint);
    }
}

/// Records what the end of an attempt shows of the health of its endpoint.
fn record_health(health: &mut EndpointHealth, evidence: HealthEvidence, now_ms: f64) {
    match evidence {
        HealthEvidence::GoodResponse => {
            health.record_response(now_ms);
            health.record_success(ERROR_GAIN);
        }
        HealthEvidence::ErrorResponse => {
            health.record_response(now_ms);
            health.record_error(ERROR_GAIN);
        }
        HealthEvidence::Rejection => health.record_response(now_ms),
        HealthEvidence::ConnectionFailure => health.record_error(ERROR_GAIN),
        HealthEvidence::NotRecorded => {}
    }
}
