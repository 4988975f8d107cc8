//! Slow start: how much work is sent to an endpoint whose process has started recently.
mod warm_fraction;
mod warm_up_admission;
mod warm_up_budget;

pub(crate) use warm_fraction::{
    is_past_warm_up, is_warming_up, send_fraction_in_broadcast_mode, send_fraction_in_large_fleet,
    warm_fraction, BROADCAST_WARM_UP_FRACTION, LARGE_FLEET_WARM_UP_FRACTION,
};
pub(crate) use warm_up_admission::{warm_up_admission, warm_up_draw, SendCapacity, WarmUpAdmission};
pub(crate) use warm_up_budget::{
    age_at_full_capacity_ms, available_tokens, tokens_after_attempt_in_broadcast_mode,
    tokens_after_attempt_in_large_fleet, warm_up_budget, WarmUpBudgetInput, SEND_RATE_TIME_CONSTANT_S,
    TOKENS_PER_ATTEMPT,
};
