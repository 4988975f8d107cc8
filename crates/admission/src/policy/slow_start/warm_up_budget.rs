//! The rate at which one gateway may send attempts to an endpoint that is warming up: in broadcast mode
//! always, in a large fleet while few endpoints are warm.
use crate::policy::slow_start::warm_fraction::BROADCAST_WARM_UP_FRACTION;
use crate::state::WarmUpBudget;

/// Fraction of the send rate of a warm endpoint of the same kind that counts as a warming endpoint's full
/// capacity.
const WARM_ENDPOINT_FRACTION: f64 = 0.7;

/// Maximum of saved tokens, as a fraction of the tokens of one overload window. At one half, no overload
/// window sees more than its own tokens and these.
const SAVED_WINDOW_FRACTION: f64 = 0.5;

/// Time constant with which the rate of attempts sent to an endpoint is smoothed, in seconds.
pub(crate) const SEND_RATE_TIME_CONSTANT_S: f64 = 3.0;

/// Inputs of the budget of an endpoint that is warming up.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WarmUpBudgetInput {
    /// Lower bound of the endpoint's capacity, as a fraction of its full capacity.
    pub warm_fraction: f64,
    /// Rate of this gateway's attempts at a warm endpoint of the same machine kind, per second; 0 if none is
    /// known.
    pub warm_send_rate: f64,
    /// Mean response time over the classes, in ms.
    pub mean_response_ms: f64,
    /// Typical age of this gateway's attempts in flight at an endpoint, in ms; in a large fleet, at an
    /// endpoint of full capacity.
    pub typical_attempt_age_ms: f64,
    /// Number of gateways in the fleet.
    pub gateways: usize,
    /// Multiple of its present capacity from which a warming endpoint is overloaded, from the settings.
    pub overload_multiple: f64,
    /// Time for which an overload must last for the endpoint to fail, from the settings, in ms.
    pub overload_window_ms: f64,
}

/// Returns this gateway's budget for an endpoint that is warming up.
///
/// The budget follows the larger of two rates: this gateway's equal share of the rate of an endpoint with one
/// attempt in flight, which is one attempt per response time, and what this gateway sends a warm endpoint of
/// the same kind. Even the sum of both rates would stay within a warm endpoint's capacity, because response
/// times grow with the load. The response time is taken from the age of attempts in flight if that is longer,
/// because they show longer response times before the responses arrive.
pub(crate) fn warm_up_budget(input: &WarmUpBudgetInput) -> WarmUpBudget {
    let warm_rate = WARM_ENDPOINT_FRACTION * input.warm_send_rate;
    let response_ms = input.mean_response_ms.max(input.typical_attempt_age_ms);
    let equal_rate = 1000.0 / response_ms / input.gateways as f64;
    let window_s = SAVED_WINDOW_FRACTION * input.overload_window_ms / 1000.0;
    let multiple = BROADCAST_WARM_UP_FRACTION * input.overload_multiple;
    let tokens_per_second = multiple * input.warm_fraction * warm_rate.max(equal_rate);
    WarmUpBudget { tokens_per_second, max_tokens: tokens_per_second * window_s }
}

/// Returns the age that attempts would have at endpoints of full capacity, in ms, if they are `age_ms` old at
/// endpoints that have the fraction `warm_fraction` of it. Large fleets use tokens while few endpoints are
/// warm; the age shows mostly how slow the others still are, which the budget counts by their warm fraction
/// already.
pub(crate) fn age_at_full_capacity_ms(age_ms: f64, warm_fraction: f64) -> f64 {
    age_ms * warm_fraction
}

/// Warm-up tokens that an attempt takes.
pub(crate) const TOKENS_PER_ATTEMPT: f64 = 1.0;

/// Returns an endpoint's warm-up tokens, `since_update_ms` after it had `saved_tokens`.
///
/// If the budget lets less than one token be saved, tokens accrue up to 1 + `max_tokens`, and then one
/// expires: a full token is available from 1 until that limit is reached. This time differs between gateways,
/// because an endpoint starts with a random fraction of a token at each. Otherwise every gateway of the fleet
/// would have a token ready when a burst of requests arrives, and together they would overload the endpoint.
pub(crate) fn available_tokens(saved_tokens: f64, since_update_ms: f64, budget: WarmUpBudget) -> f64 {
    let tokens = saved_tokens + budget.tokens_per_second * since_update_ms / 1000.0;
    if budget.max_tokens >= TOKENS_PER_ATTEMPT {
        return tokens.min(budget.max_tokens);
    }
    tokens - (tokens - budget.max_tokens).floor().max(0.0)
}

/// Returns an endpoint's warm-up tokens after an attempt was sent there, in broadcast mode. They fall below 0
/// if there was no token, after an attempt that no token permitted.
pub(crate) fn tokens_after_attempt_in_broadcast_mode(available_tokens: f64) -> f64 {
    available_tokens - TOKENS_PER_ATTEMPT
}

/// Returns an endpoint's warm-up tokens after an attempt was sent there, in a large fleet. An attempt without
/// a token was admitted by chance and takes none: a gateway that earns a token in minutes would have none
/// left when the admission by chance ends.
pub(crate) fn tokens_after_attempt_in_large_fleet(available_tokens: f64) -> f64 {
    if available_tokens >= TOKENS_PER_ATTEMPT {
        available_tokens - TOKENS_PER_ATTEMPT
    } else {
        available_tokens
    }
}
