//! How the records of endpoints follow what happens: how attempts end, and the time that passes.
//!
//! The figures and the decisions lie in `policy::outlier_detection` and `policy::slow_start`.
use crate::event::{AttemptEnd, Outcome};
use crate::gateway::Gateway;
use crate::id::{ClassIndex, EndpointId, PlanIndex};
use crate::mechanism::backoff::jitter_factor;
use crate::mechanism::percentile::percentile;
use crate::policy::outlier_detection::{
    EJECTION, EJECTION_JITTER, ERROR_GAIN, IDLE_AGE_FRACTION, OVERLOAD_EJECTION_FRACTION,
    TYPICAL_AGE_PERCENTILE,
};
use crate::state::{Endpoint, WarmUpBudget};

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

    /// Brings warm-up tokens up to now at the budgets that held until now, and then the rates they follow.
    pub(crate) fn refill_warm_up_tokens(&mut self) {
        let now_ms = self.clock.now_ms();
        let budget_of = |endpoint: &Endpoint| Some((endpoint.id(), self.warm_up_budget(endpoint)?));
        let budgets: Vec<(EndpointId, WarmUpBudget)> = self.endpoints.iter().filter_map(budget_of).collect();
        if budgets.is_empty() {
            return;
        }
        for (id, budget) in budgets {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.warm_up_tokens.refill(now_ms, budget);
            }
        }
        let warm = self.endpoints.ready().filter(|e| !self.is_warming_up(e));
        let rates: Vec<_> = warm.map(|e| (e.kind(), e.send_rate(now_ms))).collect();
        self.slow_start.set_warm_send_rates(rates.into_iter());
    }

    /// Mean of own attempts in flight at a warm endpoint. Large fleets draw by weights that fall with
    /// attempts in flight: endpoints that are warming up, with none, would draw most of the work.
    pub(crate) fn mean_warm_in_flight(&self) -> f64 {
        let warm = self.endpoints.ready().filter(|e| !self.is_warming_up(e));
        let counts: Vec<usize> = warm.map(|e| e.in_flight().len()).collect();
        counts.iter().sum::<usize>() as f64 / counts.len().max(1) as f64
    }
}
