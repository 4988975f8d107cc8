//! Which endpoint an attempt is sent to. Small fleets are those that broadcast counts, large ones all others.
use crate::gateway::Gateway;
use crate::id::{EndpointId, RequestId};
use crate::mechanism::weighted_choice::{inverse_cost_weights, weighted_choice};
use crate::policy::outlier::is_correlated_failure;
use crate::policy::slow_start::{WarmUpAdmission, WARM_UP_BUDGET_FRACTION, WARM_UP_WEIGHT};
use crate::settings::Idempotency;
use crate::state::{ActiveRequest, Candidate, Endpoint, ZoneCapacity};

/// Largest part of its attempts that a gateway of a large fleet sends within its zone: the rest shows it how
/// remote zones do. It sends to one of 60 endpoints too seldom to find a connection open; to those of its
/// zone it mostly does.
const MAX_LOCAL_FRACTION: f64 = 0.9;

/// In a small fleet an endpoint of a remote zone must be better by this factor to be chosen.
const REMOTE_ZONE_COST: f64 = 1.1;

/// An unresponsive endpoint costs this many times as much: some gateway still probes it now and then.
const PROBE_DIVISOR: f64 = 20.0;

/// An endpoint that the request was sent to before costs this many times as much.
const REPEAT_COST: f64 = 4.0;

impl Gateway {
    /// The endpoint to send an attempt to; `None` where there is none now.
    pub(crate) fn select_endpoint(&mut self, id: RequestId) -> Option<EndpointId> {
        let is_small_fleet = self.coordination.is_broadcast();
        let draw = if is_small_fleet { 0.0 } else { self.random.next_fraction() };
        if self.endpoints.is_list_expired() {
            return None;
        }
        let active = self.requests.get(id)?;
        let eligible = self.endpoints.ready().filter(|e| self.may_attempt(active, e));
        if is_small_fleet {
            let candidates = eligible.filter_map(|e| self.weigh_by_load(active, e)).collect();
            self.choose_least_cost(candidates)
        } else {
            let mean_in_flight = self.mean_warm_in_flight();
            let weigh = |endpoint| self.weigh_by_observations(active, endpoint, mean_in_flight);
            self.choose_by_draw(active, eligible.map(weigh).collect(), draw)
        }
    }

    /// Small fleets: own attempts in flight over learned speed; `None` where no warm-up token is left.
    fn weigh_by_load<'a>(&self, active: &ActiveRequest, endpoint: &'a Endpoint) -> Option<Candidate<'a>> {
        let now_ms = self.clock.now_ms();
        let mut cost = (endpoint.in_flight().len() as f64 + 1.0) / self.warm_fraction(endpoint);
        cost *= if active.was_sent_to(endpoint.id()) { REPEAT_COST } else { 1.0 };
        cost *= if endpoint.zone() == self.settings.zone { 1.0 } else { REMOTE_ZONE_COST };
        cost *= endpoint.response_time.own(endpoint.health.since_response_ms(now_ms));
        if let Some(budget) = self.warm_up_budget(endpoint) {
            if endpoint.warm_up_tokens.available(now_ms, budget) < 1.0 {
                return None;
            }
            // The rarer the tokens, the likelier one is used.
            cost *= (WARM_UP_BUDGET_FRACTION * budget.max_tokens).min(1.0);
        }
        // After a failure one attempt at a time probes whether the endpoint is well again.
        let is_probed = endpoint.health.consecutive_failures() > 0 && !endpoint.in_flight().is_empty();
        let is_outlier = self.is_outlier(endpoint) || is_probed;
        Some(Candidate { endpoint, cost, is_outlier, is_unresponsive: false })
    }

    /// Small fleets: the endpoint expected to finish first.
    fn choose_least_cost(&self, mut candidates: Vec<Candidate<'_>>) -> Option<EndpointId> {
        if !self.outliers.is_correlated_failure() {
            candidates.retain(|c| !c.is_outlier);
        }
        candidates.iter().min_by(|a, b| a.cost.total_cmp(&b.cost)).map(|c| c.endpoint.id())
    }

    /// Large fleets: own attempts in flight, and what the fleet observed.
    fn weigh_by_observations<'a>(
        &self,
        active: &ActiveRequest,
        endpoint: &'a Endpoint,
        mean_warm_in_flight: f64,
    ) -> Candidate<'a> {
        let request = &active.request;
        let is_idempotent = self.settings.class(request.class).idempotency == Idempotency::Idempotent;
        // Only requests that may be repeated probe an endpoint that leaves others without a response.
        let must_not_probe = !is_idempotent && endpoint.observed.missed_responses() > 0;
        let is_unresponsive = must_not_probe || self.is_unresponsive(endpoint);
        let is_outlier = self.is_outlier(endpoint)
            || endpoint.observed.is_ejected_for(request.class, request.plan, self.clock.now_ms())
            || must_not_probe;
        // Little in flight at an endpoint that is warming up is no reason to send it more than its part.
        let is_warming_up = self.is_warming_up(endpoint);
        let least_in_flight = if is_warming_up { mean_warm_in_flight } else { 0.0 };
        let load = least_in_flight.max(endpoint.in_flight().len() as f64) + 1.0;
        let kind = self.kind_deviation(endpoint);
        let mut cost = load / self.warm_fraction(endpoint);
        cost *= if active.was_sent_to(endpoint.id()) { REPEAT_COST } else { 1.0 };
        let warm_up_weight = if is_warming_up { WARM_UP_WEIGHT } else { 1.0 };
        cost *= load * kind.baseline * kind.excess * kind.excess / warm_up_weight;
        cost *= if is_unresponsive { PROBE_DIVISOR } else { 1.0 };
        Candidate { endpoint, cost, is_outlier, is_unresponsive }
    }

    /// Large fleets: drawn by chance, the likelier the lower the cost. Gateways that each have little in
    /// flight and learn the same would else all choose one endpoint, and together pass its warm-up budget.
    fn choose_by_draw(
        &self,
        active: &ActiveRequest,
        mut candidates: Vec<Candidate<'_>>,
        draw: f64,
    ) -> Option<EndpointId> {
        let local_fraction = self.local_fraction(&candidates);
        let warming_up = |c: &Candidate<'_>| self.is_warming_up(c.endpoint);
        match self.warm_up_admission(active.request.id, active.attempt_count()) {
            WarmUpAdmission::Admitted { weight_factor } => {
                candidates.iter_mut().filter(|c| warming_up(c)).for_each(|c| c.cost /= weight_factor)
            }
            WarmUpAdmission::WarmOnly => candidates.retain(|c| !warming_up(c)),
        }
        // Where most look like outliers the cause is not theirs, and none is left out.
        let healthy = candidates.iter().filter(|c| !c.is_outlier).count();
        let is_shared_cause = is_correlated_failure(healthy, candidates.len());
        if !self.outliers.is_correlated_failure() && !is_shared_cause {
            candidates.retain(|c| !c.is_outlier);
        }
        let is_local = |c: &Candidate<'_>| c.endpoint.zone() == self.settings.zone;
        let weights = inverse_cost_weights(&candidates, |c| c.cost, is_local, local_fraction);
        weighted_choice(draw, &weights).map(|index| candidates[index].endpoint.id())
    }

    /// Mean of own attempts in flight at a warm endpoint. Large fleets draw by weights that fall with
    /// attempts in flight: endpoints that are warming up, with none, would draw most of the work.
    fn mean_warm_in_flight(&self) -> f64 {
        let counts: Vec<usize> = self.warm_endpoints().map(|e| e.in_flight().len()).collect();
        counts.iter().sum::<usize>() as f64 / counts.len().max(1) as f64
    }

    /// Part of the attempts that stay in the local zone: by what its candidates can take beside those of the
    /// mean zone, so that none of them gets more than a candidate of a remote zone.
    fn local_fraction(&self, candidates: &[Candidate<'_>]) -> f64 {
        let capacity = |c: &Candidate<'_>| if c.is_healthy() { self.send_fraction(c.endpoint) } else { 0.0 };
        let capacities = candidates.iter().map(|c| (c.endpoint.zone(), capacity(c)));
        let zones = ZoneCapacity::new(capacities, self.settings.zone);
        let fraction = MAX_LOCAL_FRACTION * zones.local / zones.mean;
        fraction.clamp(1.0 / PROBE_DIVISOR, MAX_LOCAL_FRACTION)
    }
}
