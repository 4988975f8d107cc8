//! The expected cost of an attempt at an endpoint. A cost has no unit: only ratios of costs matter.
use crate::policy::response_time::KindDeviation;
use crate::policy::slow_start::{
    is_warming_up, BROADCAST_WARM_UP_FRACTION, LARGE_FLEET_WARM_UP_FRACTION, TOKENS_PER_ATTEMPT,
};

/// Factor on the cost of an endpoint that an earlier attempt of the request was sent to.
const ATTEMPTED_BEFORE_COST_FACTOR: f64 = 4.0;

/// Factor on the cost of an endpoint in another zone, in broadcast mode.
const REMOTE_ZONE_COST_FACTOR: f64 = 1.1;

/// Factor on the cost of an endpoint that is suspected not to respond to the request. Some gateway still
/// sends to the endpoint now and then, which shows when it is healthy again.
const SUSPECT_COST_FACTOR: f64 = 20.0;

/// The warm-up tokens of an endpoint that is warming up.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WarmUpAllowance {
    /// Tokens available now; an attempt takes one.
    pub available_tokens: f64,
    /// Maximum number of tokens that are saved. If it is below 1, tokens accrue up to one more than this, and
    /// then one expires (`available_tokens`).
    pub max_tokens: f64,
}

/// Inputs of the cost of an attempt in broadcast mode.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BroadcastCostInput {
    /// Number of this gateway's attempts in flight at the endpoint.
    pub in_flight: usize,
    /// Lower bound of the endpoint's capacity, as a fraction of its full capacity.
    pub warm_fraction: f64,
    /// An earlier attempt of the request was sent to the endpoint.
    pub was_attempted: bool,
    /// The endpoint is in the gateway's zone.
    pub is_local: bool,
    /// The endpoint's response time as a multiple of the mean, learned from this gateway's attempts.
    pub relative_response_time: f64,
    /// The endpoint's warm-up tokens; `None` if it is warm.
    pub warm_up: Option<WarmUpAllowance>,
}

/// Returns the cost of an attempt in broadcast mode, by this gateway's attempts in flight and the learned
/// response times, or `None` if the endpoint is warming up and has no token left.
pub(crate) fn cost_in_broadcast_mode(input: &BroadcastCostInput) -> Option<f64> {
    let mut cost = (input.in_flight as f64 + 1.0) / input.warm_fraction;
    cost *= if input.was_attempted { ATTEMPTED_BEFORE_COST_FACTOR } else { 1.0 };
    cost *= if input.is_local { 1.0 } else { REMOTE_ZONE_COST_FACTOR };
    cost *= input.relative_response_time;
    if let Some(warm_up) = input.warm_up {
        if warm_up.available_tokens < TOKENS_PER_ATTEMPT {
            return None;
        }
        // The cost is lowered in proportion to the bucket if that holds less than
        // `1 / BROADCAST_WARM_UP_FRACTION` tokens, so that a token that is rarely available is used before it
        // expires.
        cost *= (BROADCAST_WARM_UP_FRACTION * warm_up.max_tokens).min(1.0);
    }
    Some(cost)
}

/// Inputs of the cost of an attempt in a large fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LargeFleetCostInput {
    /// Number of this gateway's attempts in flight at the endpoint.
    pub in_flight: usize,
    /// Mean number of this gateway's attempts in flight at a warm endpoint.
    pub mean_warm_in_flight: f64,
    /// Lower bound of the endpoint's capacity, as a fraction of its full capacity.
    pub warm_fraction: f64,
    /// An earlier attempt of the request was sent to the endpoint.
    pub was_attempted: bool,
    /// The endpoint's response time compared with that of its machine kind.
    pub kind_deviation: KindDeviation,
    /// The endpoint is suspected not to respond to this request.
    pub is_suspect: bool,
}

/// Returns the cost of an attempt in a large fleet, by this gateway's attempts in flight and the observations
/// of all gateways.
///
/// The load counts squared, so that a busy endpoint is drawn far less often. An endpoint that is warming up
/// counts with at least the mean number of attempts in flight: it has few or none and would otherwise draw
/// most of the work.
pub(crate) fn cost_in_large_fleet(input: &LargeFleetCostInput) -> f64 {
    let is_warming_up = is_warming_up(input.warm_fraction);
    let least_in_flight = if is_warming_up { input.mean_warm_in_flight } else { 0.0 };
    let load = least_in_flight.max(input.in_flight as f64) + 1.0;
    let warm_up_fraction = if is_warming_up { LARGE_FLEET_WARM_UP_FRACTION } else { 1.0 };
    let kind_deviation = input.kind_deviation;
    let mut cost = load / input.warm_fraction;
    cost *= if input.was_attempted { ATTEMPTED_BEFORE_COST_FACTOR } else { 1.0 };
    cost *=
        load * kind_deviation.baseline * kind_deviation.slowness * kind_deviation.slowness / warm_up_fraction;
    cost *= if input.is_suspect { SUSPECT_COST_FACTOR } else { 1.0 };
    cost
}

/// Returns the mean number of attempts in flight per endpoint, or 0 if there is no endpoint.
pub(crate) fn mean_in_flight(in_flight: impl Iterator<Item = usize>) -> f64 {
    let (mut attempts, mut endpoints) = (0, 0);
    for count in in_flight {
        attempts += count;
        endpoints += 1;
    }
    attempts as f64 / endpoints.max(1) as f64
}
