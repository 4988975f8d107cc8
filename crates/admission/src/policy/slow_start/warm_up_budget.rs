//! Broadcast mode: the rate at which one gateway may send to an endpoint that is warming up.
use crate::policy::slow_start::warm_fraction::WARM_UP_BUDGET_FRACTION;
use crate::state::WarmUpBudget;

/// Fraction of the rate at which a warm endpoint of the same kind is sent attempts that counts as its
/// capacity.
const WARM_PEER_FRACTION: f64 = 0.7;

/// Tokens that may be saved up, as a fraction of those of one overload window. At one half, no window sees
/// more than its own tokens and these.
const SAVED_WINDOW_FRACTION: f64 = 0.5;

/// Span over which the rate of attempts sent to an endpoint is smoothed, in seconds.
pub(crate) const SEND_RATE_SPAN_S: f64 = 3.0;

/// What the budget of an endpoint that is warming up goes by.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WarmUpBudgetInput {
    /// Fraction of its full capacity that the endpoint has at least.
    pub warm_fraction: f64,
    /// Own attempts a second at a warm endpoint of its kind; 0 where none is known.
    pub warm_send_rate: f64,
    /// Mean response time over the classes, in ms.
    pub mean_response_ms: f64,
    /// Age of own attempts in flight at an endpoint that is not among the slowest, in ms.
    pub typical_age_ms: f64,
    /// Gateways of the fleet.
    pub gateways: usize,
    /// Multiple of its present capacity above which a warming endpoint fails, from the settings.
    pub overload_multiple: f64,
    /// Time for which it must be sent more than that to fail, from the settings, in ms.
    pub overload_window_ms: f64,
}

/// The budget of this gateway for an endpoint that is warming up.
///
/// It is the larger of two rates: an even fraction of what all gateways may send, and what this gateway sends
/// a warm endpoint of the kind. Even the sum of both would stay within a warm endpoint's capacity, because
/// responses take longer the more it is sent. Attempts in flight show longer responses before these arrive.
pub(crate) fn warm_up_budget(input: &WarmUpBudgetInput) -> WarmUpBudget {
    let warm_rate = WARM_PEER_FRACTION * input.warm_send_rate;
    let response_ms = input.mean_response_ms.max(input.typical_age_ms);
    let even_rate = 1000.0 / response_ms / input.gateways as f64;
    let window_s = SAVED_WINDOW_FRACTION * input.overload_window_ms / 1000.0;
    let multiple = WARM_UP_BUDGET_FRACTION * input.overload_multiple;
    let tokens_per_second = multiple * input.warm_fraction * warm_rate.max(even_rate);
    WarmUpBudget { tokens_per_second, max_tokens: tokens_per_second * window_s }
}

/// Warm-up tokens that an attempt takes.
pub(crate) const TOKENS_PER_ATTEMPT: f64 = 1.0;

/// Warm-up tokens of an endpoint, `since_update_ms` after it had `saved_tokens`.
///
/// Where less than one token may be saved up, a full token is there only for a while, at a time of this
/// gateway's own, and then expires. Without that every gateway of the fleet would have one ready when a burst
/// comes, and together they would overload the endpoint.
pub(crate) fn available_tokens(saved_tokens: f64, since_update_ms: f64, budget: WarmUpBudget) -> f64 {
    let tokens = saved_tokens + budget.tokens_per_second * since_update_ms / 1000.0;
    if budget.max_tokens >= TOKENS_PER_ATTEMPT {
        return tokens.min(budget.max_tokens);
    }
    tokens - (tokens - budget.max_tokens).floor().max(0.0)
}
