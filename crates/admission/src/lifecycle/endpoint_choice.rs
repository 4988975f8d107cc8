//! Selects endpoints for attempts: gathers the inputs of the selection rules and applies the rules.
use crate::gateway::Gateway;
use crate::id::{EndpointId, RequestId};
use crate::lifecycle::warm_up::available_warm_up_tokens;
use crate::policy::selection;
use crate::policy::selection::{
    BroadcastCostInput, BroadcastFitnessInput, CostCandidate, DrawCandidate, DrawContext,
    LargeFleetCostInput, LargeFleetFitnessInput, WarmUpAllowance,
};
use crate::state::{ActiveRequest, Endpoint, FleetMode};

impl Gateway {
    /// Returns the endpoint to send an attempt to; `None` if there is none now.
    pub(crate) fn select_endpoint(&mut self, id: RequestId) -> Option<EndpointId> {
        match self.coordination.fleet_mode() {
            FleetMode::Broadcast => self.select_by_cost(id),
            FleetMode::LargeFleet => {
                // Each selection draws one random number, even if no endpoint is found, so that later random
                // numbers do not depend on the endpoint list.
                let draw = self.random.next_fraction();
                self.select_by_draw(id, draw)
            }
        }
    }

    /// Returns the endpoint of least cost among the fit ones, in broadcast mode. In a correlated failure
    /// unfit endpoints are candidates too.
    fn select_by_cost(&self, id: RequestId) -> Option<EndpointId> {
        let active = self.requests.get(id)?;
        let candidates = self.eligible_endpoints(active).filter_map(|e| self.cost_candidate(active, e));
        selection::least_cost(candidates, self.outliers.is_correlated_failure())
    }

    /// Returns an endpoint drawn at random from the fit ones, in a large fleet. The lower an endpoint's cost,
    /// the more likely it is drawn; its zone counts too. In a correlated failure unfit endpoints are
    /// candidates too.
    fn select_by_draw(&self, id: RequestId, draw: f64) -> Option<EndpointId> {
        let active = self.requests.get(id)?;
        let warm_in_flight = self.warm_endpoints().map(|endpoint| endpoint.in_flight().len());
        let mean_warm_in_flight = selection::mean_in_flight(warm_in_flight);
        let candidates =
            self.eligible_endpoints(active).map(|e| self.draw_candidate(active, e, mean_warm_in_flight));
        let context = DrawContext {
            draw,
            local_zone: self.settings.zone,
            warm_up: self.warm_up_admission(id, active.attempt_count()),
            is_correlated_failure: self.outliers.is_correlated_failure(),
        };
        selection::weighted_draw(candidates.collect(), &context)
    }

    /// Returns the endpoints that the endpoint list and the class's idempotency allow for an attempt; none if
    /// the list has expired.
    fn eligible_endpoints<'a>(
        &'a self,
        active: &'a ActiveRequest,
    ) -> impl Iterator<Item = &'a Endpoint> + 'a {
        let scope = self.retry_scope(active);
        self.endpoints
            .available()
            .filter(move |endpoint| scope.includes(endpoint, active.attempts_that_may_have_run()))
    }

    /// Returns an endpoint with its cost, in broadcast mode; `None` if it has no warm-up token left.
    fn cost_candidate(&self, active: &ActiveRequest, endpoint: &Endpoint) -> Option<CostCandidate> {
        let now_ms = self.clock.now_ms();
        let in_flight = endpoint.in_flight().len();
        let since_response_ms = endpoint.health.since_response_ms(now_ms);
        let warm_up = self.warm_up_budget(endpoint).map(|budget| WarmUpAllowance {
            available_tokens: available_warm_up_tokens(endpoint, budget, now_ms),
            max_tokens: budget.max_tokens,
        });
        let cost = selection::cost_in_broadcast_mode(&BroadcastCostInput {
            in_flight,
            warm_fraction: self.warm_fraction(endpoint),
            was_attempted: active.was_sent_to(endpoint.id()),
            is_local: endpoint.zone() == self.settings.zone,
            relative_response_time: endpoint.response_time.own_estimate(since_response_ms),
            warm_up,
        })?;
        let is_unfit = selection::is_unfit_in_broadcast_mode(&BroadcastFitnessInput {
            is_outlier: self.is_outlier(endpoint),
            consecutive_failures: endpoint.health.consecutive_failures(),
            in_flight,
        });
        Some(CostCandidate { endpoint: endpoint.id(), cost, is_unfit })
    }

    /// Returns an endpoint with its cost and its fitness, in a large fleet.
    fn draw_candidate(
        &self,
        active: &ActiveRequest,
        endpoint: &Endpoint,
        mean_warm_in_flight: f64,
    ) -> DrawCandidate {
        let request = &active.request;
        let now_ms = self.clock.now_ms();
        let warm_fraction = self.warm_fraction(endpoint);
        let fitness = selection::fitness_in_large_fleet(&LargeFleetFitnessInput {
            is_outlier: self.is_outlier(endpoint),
            is_ejected_for_request: endpoint.observed_health.is_ejected_for(
                request.class,
                request.plan,
                now_ms,
            ),
            is_unresponsive: self.is_unresponsive(endpoint),
            failure_observations: endpoint.observed_health.failure_observations(),
            idempotency: self.settings.class(request.class).idempotency,
        });
        let cost = selection::cost_in_large_fleet(&LargeFleetCostInput {
            in_flight: endpoint.in_flight().len(),
            mean_warm_in_flight,
            warm_fraction,
            was_attempted: active.was_sent_to(endpoint.id()),
            kind_deviation: self.kind_deviation(endpoint),
            is_suspect: fitness.is_suspect,
        });
        DrawCandidate {
            endpoint: endpoint.id(),
            zone: endpoint.zone(),
            warm_fraction,
            cost,
            fitness,
            has_warm_up_token: self.has_warm_up_token(endpoint),
        }
    }
}
