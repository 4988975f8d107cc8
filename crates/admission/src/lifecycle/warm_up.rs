//! Gathers the inputs of the slow start rules, and keeps the warm-up tokens of endpoints.
use crate::gateway::Gateway;
use crate::id::{EndpointId, MachineKindIndex, RequestId};
use crate::policy::slow_start;
use crate::policy::slow_start::{SendCapacity, WarmUpAdmission, WarmUpBudgetInput};
use crate::state::{Endpoint, FleetMode, WarmUpBudget};

impl Gateway {
    /// Returns the fraction of its full capacity that an endpoint has at least, by its age.
    pub(crate) fn warm_fraction(&self, endpoint: &Endpoint) -> f64 {
        let settings = &self.settings;
        let age_ms = endpoint.age_ms(self.clock.now_ms());
        slow_start::warm_fraction(age_ms, settings.warm_up_ms, settings.cold_start_fraction)
    }

    /// Returns whether an endpoint does not have its full capacity yet.
    pub(crate) fn is_warming_up(&self, endpoint: &Endpoint) -> bool {
        slow_start::is_warming_up(self.warm_fraction(endpoint))
    }

    /// Returns how much work the fleet may send an endpoint, as a fraction of what it may send a warm one.
    pub(crate) fn send_fraction(&self, endpoint: &Endpoint) -> f64 {
        let warm_fraction = self.warm_fraction(endpoint);
        match self.coordination.fleet_mode() {
            FleetMode::Broadcast => slow_start::send_fraction_in_broadcast_mode(warm_fraction),
            FleetMode::LargeFleet => slow_start::send_fraction_in_large_fleet(warm_fraction),
        }
    }

    /// Returns the rate at which this gateway may send to an endpoint that is warming up; `None` if the
    /// endpoint is warm.
    pub(crate) fn warm_up_budget(&self, endpoint: &Endpoint) -> Option<WarmUpBudget> {
        let warm_fraction = Some(self.warm_fraction(endpoint)).filter(|w| slow_start::is_warming_up(*w))?;
        let attempt_age_ms = self.latency.typical_attempt_age_ms();
        Some(slow_start::warm_up_budget(&WarmUpBudgetInput {
            warm_fraction,
            warm_send_rate: self.warm_send_rates.of_kind(endpoint.kind()),
            mean_response_ms: self.latency.mean_response_ms(),
            typical_attempt_age_ms: match self.coordination.fleet_mode() {
                FleetMode::Broadcast => attempt_age_ms,
                FleetMode::LargeFleet => slow_start::age_at_full_capacity_ms(attempt_age_ms, warm_fraction),
            },
            gateways: self.settings.gateways,
            overload_multiple: self.settings.overload_multiple,
            overload_window_ms: self.settings.overload_window_ms,
        }))
    }

    /// Returns whether this gateway has a token for an attempt at an endpoint that is warming up; `false` if
    /// the endpoint is warm.
    pub(crate) fn has_warm_up_token(&self, endpoint: &Endpoint) -> bool {
        let now_ms = self.clock.now_ms();
        let tokens = |budget| available_warm_up_tokens(endpoint, budget, now_ms);
        self.warm_up_budget(endpoint).is_some_and(|budget| tokens(budget) >= slow_start::TOKENS_PER_ATTEMPT)
    }

    /// Decides whether an attempt of a request may go to an endpoint that is warming up, in a large fleet.
    pub(crate) fn warm_up_admission(&self, id: RequestId, attempt: usize) -> WarmUpAdmission {
        let mut capacity = SendCapacity::default();
        for endpoint in self.endpoints.ready() {
            let warm_fraction = self.warm_fraction(endpoint);
            capacity.add(slow_start::send_fraction_in_large_fleet(warm_fraction), warm_fraction);
        }
        let draw = slow_start::warm_up_draw(id, self.incarnation, attempt);
        slow_start::warm_up_admission(&capacity, draw)
    }

    /// Refills warm-up tokens up to now, and then updates the send rates that the budgets
    /// depend on. The refill comes first, because tokens for the time until now accrue by the old budgets.
    /// Does nothing, and leaves the send rates as they are, if no endpoint is warming up.
    pub(crate) fn refill_warm_up_tokens(&mut self) {
        let now_ms = self.clock.now_ms();
        let budget_of = |endpoint: &Endpoint| Some((endpoint.id(), self.warm_up_budget(endpoint)?));
        let budgets: Vec<(EndpointId, WarmUpBudget)> = self.endpoints.iter().filter_map(budget_of).collect();
        if budgets.is_empty() {
            return;
        }
        for (id, budget) in budgets {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                let tokens = available_warm_up_tokens(endpoint, budget, now_ms);
                endpoint.warm_up_tokens.update(tokens, now_ms);
            }
        }
        let rates = self.warm_endpoints().map(|e| (e.kind(), e.send_rate(now_ms)));
        let rates: Vec<(MachineKindIndex, f64)> = rates.collect();
        self.warm_send_rates.replace(rates.into_iter());
    }

    /// Returns the ready endpoints that have their full capacity.
    pub(crate) fn warm_endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.ready().filter(|endpoint| !self.is_warming_up(endpoint))
    }
}

/// Returns the warm-up tokens of an endpoint at `now_ms`.
pub(crate) fn available_warm_up_tokens(endpoint: &Endpoint, budget: WarmUpBudget, now_ms: f64) -> f64 {
    let saved = &endpoint.warm_up_tokens;
    slow_start::available_tokens(saved.tokens_at_update(), saved.since_update_ms(now_ms), budget)
}
