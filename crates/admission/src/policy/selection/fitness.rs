//! Whether an endpoint is fit for an attempt.
use crate::settings::Idempotency;

/// What decides whether an endpoint is fit in broadcast mode.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BroadcastFitnessInput {
    /// It is an outlier.
    pub is_outlier: bool,
    /// Its failures in a row.
    pub consecutive_failures: u32,
    /// Own attempts in flight there.
    pub in_flight: usize,
}

/// Broadcast mode: whether an endpoint is left out while enough others are healthy. After a failure one
/// attempt at a time shows whether it is healthy again.
pub(crate) fn is_unfit_in_broadcast_mode(input: &BroadcastFitnessInput) -> bool {
    let awaits_first_response = input.consecutive_failures > 0 && input.in_flight > 0;
    input.is_outlier || awaits_first_response
}

/// What decides whether an endpoint is fit for a request in a large fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LargeFleetFitnessInput {
    /// It is an outlier to this gateway.
    pub is_outlier: bool,
    /// It is ejected for the request's class or plan.
    pub is_ejected_for_request: bool,
    /// The fleet gets no responses from it.
    pub is_unresponsive: bool,
    /// Attempts observed there since the last response that got none.
    pub missed_responses: u32,
    /// What the request's class allows once an attempt may have run.
    pub idempotency: Idempotency,
}

/// What speaks against sending a request to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EndpointFitness {
    /// It is left out while enough others are healthy.
    pub is_outlier: bool,
    /// Others get no responses from it, so that it costs more.
    pub is_unresponsive: bool,
}

/// Large fleets: whether an endpoint is fit for a request. Only idempotent requests may show whether an
/// endpoint that did not respond to others is healthy again: any other whose response is lost can't be sent
/// elsewhere.
pub(crate) fn fitness_in_large_fleet(input: &LargeFleetFitnessInput) -> EndpointFitness {
    let is_idempotent = input.idempotency == Idempotency::Idempotent;
    let must_avoid = !is_idempotent && input.missed_responses > 0;
    EndpointFitness {
        is_outlier: input.is_outlier || input.is_ejected_for_request || must_avoid,
        is_unresponsive: input.is_unresponsive || must_avoid,
    }
}
