//! Whether an endpoint's condition speaks against sending it an attempt.
use crate::settings::Idempotency;

/// What an endpoint's condition goes by in broadcast mode.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BroadcastConditionInput {
    /// It is an outlier.
    pub is_outlier: bool,
    /// Its failures in a row.
    pub consecutive_failures: u32,
    /// Own attempts in flight there.
    pub in_flight: usize,
}

/// Broadcast mode: whether an endpoint is left out while enough others are healthy. After a failure one attempt
/// at a time shows whether it is well again.
pub(crate) fn is_unfit_in_broadcast_mode(input: &BroadcastConditionInput) -> bool {
    let awaits_first_response = input.consecutive_failures > 0 && input.in_flight > 0;
    input.is_outlier || awaits_first_response
}

/// What an endpoint's condition goes by in a large fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LargeFleetConditionInput {
    /// It is an outlier to this gateway.
    pub is_outlier: bool,
    /// It is ejected for the request's class or plan.
    pub is_ejected_for_request: bool,
    /// It leaves the fleet without responses.
    pub is_unresponsive: bool,
    /// Attempts observed there since the last response that got none.
    pub missed_responses: u32,
    /// What the request's class allows once an attempt may have run.
    pub idempotency: Idempotency,
}

/// What speaks against sending a request to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EndpointCondition {
    /// It is left out while enough others are healthy.
    pub is_outlier: bool,
    /// It leaves others without a response, and costs more.
    pub is_unresponsive: bool,
}

/// Large fleets: the condition of an endpoint for one request. Only idempotent requests may find out whether an
/// endpoint that left others without a response is well again: a lost response to any other cannot be retried.
pub(crate) fn condition_in_large_fleet(input: &LargeFleetConditionInput) -> EndpointCondition {
    let is_idempotent = input.idempotency == Idempotency::Idempotent;
    let must_avoid = !is_idempotent && input.missed_responses > 0;
    EndpointCondition {
        is_outlier: input.is_outlier || input.is_ejected_for_request || must_avoid,
        is_unresponsive: input.is_unresponsive || must_avoid,
    }
}
