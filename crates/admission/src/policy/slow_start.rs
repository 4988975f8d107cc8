//! How much an endpoint that is warming up may be sent.
use crate::gateway::Gateway;
use crate::id::RequestId;
use crate::mechanism::splitmix64::{fraction, mix};
use crate::state::{Endpoint, FleetCapacity, WarmUpBudget};

/// Part of the warm-up budget that is used: work sizes vary, and endpoints of a kind differ in speed.
pub(crate) const WARM_UP_BUDGET_FRACTION: f64 = 0.6;

/// Part of what warm endpoints of the kind are sent that they are sure to be able to do.
const WARM_PEER_FRACTION: f64 = 0.7;

/// Part of a window whose tokens may be saved up, so that any window stays inside the budget.
const SAVED_WINDOW_FRACTION: f64 = 0.5;

/// Large fleets draw endpoints by weight: of what one that is warming up can do at least, this part counts.
pub(crate) const WARM_UP_WEIGHT: f64 = 0.5;

/// Large fleets admit requests to endpoints that are warming up at so many times their part of the capacity,
/// and as often again as there are warm endpoints among all: those take most.
const WARM_UP_ADMISSION_FACTOR: f64 = 1.2;

/// Span over which the rate of attempts sent to an endpoint is smoothed.
pub(crate) const SEND_RATE_SPAN_S: f64 = 3.0;

impl Gateway {
    /// Part of its capacity that an endpoint has at least, by its age.
    pub(crate) fn warm_fraction(&self, endpoint: &Endpoint) -> f64 {
        let settings = &self.settings;
        endpoint.warm_fraction(self.clock.now_ms(), settings.warm_up_ms, settings.cold_start_fraction)
    }

    /// Whether an endpoint has not its full capacity yet.
    pub(crate) fn is_warming_up(&self, endpoint: &Endpoint) -> bool {
        self.warm_fraction(endpoint) < 1.0
    }

    /// Part of a warm endpoint's work that the fleet may send an endpoint: less than it can do while it is
    /// warming up.
    pub(crate) fn send_fraction(&self, endpoint: &Endpoint) -> f64 {
        let warm_fraction = self.warm_fraction(endpoint);
        match warm_fraction < 1.0 {
            true if self.coordination.is_broadcast() => WARM_UP_BUDGET_FRACTION * warm_fraction,
            true => WARM_UP_WEIGHT * warm_fraction,
            false => 1.0,
        }
    }

    /// What this gateway may send an endpoint that is warming up; `None` where it is warm. Of the budget of
    /// all gateways it takes an even part, or what it sends a warm endpoint of the kind where that is more.
    /// Even the sum of both would be no more than a warm endpoint's work: the more it has of that, the longer
    /// responses take. Attempts in flight show that before responses do.
    pub(crate) fn warm_up_budget(&self, endpoint: &Endpoint) -> Option<WarmUpBudget> {
        let warm_fraction = Some(self.warm_fraction(endpoint)).filter(|fraction| *fraction < 1.0)?;
        let warm_rate = WARM_PEER_FRACTION * self.slow_start.warm_send_rate(endpoint.kind());
        let response_ms = self.latency.mean_response_ms().max(self.latency.typical_age_ms());
        let even_rate = 1000.0 / response_ms / self.settings.gateways as f64;
        let window_s = SAVED_WINDOW_FRACTION * self.settings.overload_window_ms / 1000.0;
        let multiple = WARM_UP_BUDGET_FRACTION * self.settings.overload_multiple;
        let tokens_per_second = multiple * warm_fraction * warm_rate.max(even_rate);
        Some(WarmUpBudget { tokens_per_second, max_tokens: tokens_per_second * window_s })
    }

    /// Large fleets: whether a request may go to an endpoint that is warming up, and how much the likelier it
    /// is chosen then. The part of all requests that may is little more than what those endpoints are sure to
    /// be able to do, however busy or ill warm ones are: what these can't take would push the others over.
    /// Each attempt is drawn once, by a hash, so that waiting changes nothing.
    pub(crate) fn warm_up_odds(&self, id: RequestId, attempt: usize) -> Option<f64> {
        let mut capacity = FleetCapacity::default();
        for endpoint in self.endpoints.ready() {
            capacity.add(self.send_fraction(endpoint), self.warm_fraction(endpoint));
        }
        let draw = fraction(mix(mix(id.0 ^ u64::from(self.incarnation)).wrapping_add(attempt as u64)));
        let factor = WARM_UP_ADMISSION_FACTOR + capacity.warm_fraction();
        let is_admitted = draw * capacity.total < factor * capacity.warming_up;
        is_admitted.then_some(capacity.total / capacity.warming_up)
    }
}
