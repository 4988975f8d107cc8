//! What an attempt at an endpoint is expected to cost. A cost has no unit: only ratios count.
use crate::policy::response_time::KindDeviation;
use crate::policy::slow_start::{is_warming_up, TOKENS_PER_ATTEMPT, WARM_UP_BUDGET_FRACTION, WARM_UP_WEIGHT};

/// Factor on the cost of an endpoint that the request was sent to before.
const ATTEMPTED_BEFORE_COST: f64 = 4.0;

/// Factor on the cost of an endpoint of another zone, in broadcast mode.
const REMOTE_ZONE_COST: f64 = 1.1;

/// Factor on the cost of an unresponsive endpoint. Some gateway still sends to it now and then, which shows
/// when it is healthy again.
const UNRESPONSIVE_COST: f64 = 20.0;

/// Warm-up tokens of an endpoint that is warming up.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WarmUpAllowance {
    /// Tokens at hand; an attempt takes one.
    pub available_tokens: f64,
    /// Tokens that may be saved up.
    pub max_tokens: f64,
}

/// What the cost of an attempt goes by in broadcast mode.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BroadcastCostInput {
    /// Own attempts in flight at the endpoint.
    pub in_flight: usize,
    /// Fraction of its full capacity that it has at least.
    pub warm_fraction: f64,
    /// The request was sent to it before.
    pub was_attempted: bool,
    /// It is in the gateway's zone.
    pub is_local: bool,
    /// Its response time over the mean, as own attempts show it.
    pub relative_response_time: f64,
    /// Its warm-up tokens; `None` where it is warm.
    pub warm_up: Option<WarmUpAllowance>,
}

/// Broadcast mode: the cost by own attempts in flight and learned response times; `None` where an endpoint
/// that is warming up has no token left.
pub(crate) fn cost_in_broadcast_mode(input: &BroadcastCostInput) -> Option<f64> {
    let mut cost = (input.in_flight as f64 + 1.0) / input.warm_fraction;
    cost *= if input.was_attempted { ATTEMPTED_BEFORE_COST } else { 1.0 };
    cost *= if input.is_local { 1.0 } else { REMOTE_ZONE_COST };
    cost *= input.relative_response_time;
    if let Some(warm_up) = input.warm_up {
        if warm_up.available_tokens < TOKENS_PER_ATTEMPT {
            return None;
        }
        // The rarer the tokens, the lower the cost: a token that comes seldom is used while it is there.
        cost *= (WARM_UP_BUDGET_FRACTION * warm_up.max_tokens).min(1.0);
    }
    Some(cost)
}

/// What the cost of an attempt goes by in a large fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LargeFleetCostInput {
    /// Own attempts in flight at the endpoint.
    pub in_flight: usize,
    /// Mean of own attempts in flight at a warm endpoint.
    pub mean_warm_in_flight: f64,
    /// Fraction of its full capacity that the endpoint has at least.
    pub warm_fraction: f64,
    /// The request was sent to it before.
    pub was_attempted: bool,
    /// Its response time beside that of its machine kind.
    pub kind: KindDeviation,
    /// It counts as unresponsive for this request.
    pub is_unresponsive: bool,
}

/// Large fleets: the cost by own attempts in flight and by what the fleet observes.
///
/// The load counts squared, so that a busy endpoint is drawn far more seldom. An endpoint that is warming up
/// counts with at least the mean in flight: with few attempts or none it would otherwise draw most of the
/// work.
pub(crate) fn cost_in_large_fleet(input: &LargeFleetCostInput) -> f64 {
    let is_warming_up = is_warming_up(input.warm_fraction);
    let least_in_flight = if is_warming_up { input.mean_warm_in_flight } else { 0.0 };
    let load = least_in_flight.max(input.in_flight as f64) + 1.0;
    let warm_up_weight = if is_warming_up { WARM_UP_WEIGHT } else { 1.0 };
    let kind = input.kind;
    let mut cost = load / input.warm_fraction;
    cost *= if input.was_attempted { ATTEMPTED_BEFORE_COST } else { 1.0 };
    cost *= load * kind.baseline * kind.slowness * kind.slowness / warm_up_weight;
    cost *= if input.is_unresponsive { UNRESPONSIVE_COST } else { 1.0 };
    cost
}

/// The mean of own attempts in flight over endpoints; 0 where there is no endpoint.
pub(crate) fn mean_in_flight(in_flight: impl Iterator<Item = usize>) -> f64 {
    let (mut attempts, mut endpoints) = (0, 0);
    for count in in_flight {
        attempts += count;
        endpoints += 1;
    }
    attempts as f64 / endpoints.max(1) as f64
}
