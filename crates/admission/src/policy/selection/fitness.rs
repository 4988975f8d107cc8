//! Decides whether an endpoint is fit for an attempt.
use crate::settings::Idempotency;

/// The health of an endpoint in broadcast mode.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BroadcastFitnessInput {
    /// The endpoint is an outlier.
    pub is_outlier: bool,
    /// Consecutive failures of the endpoint that each led to an ejection.
    pub consecutive_failures: u32,
    /// Number of this gateway's attempts in flight at the endpoint.
    pub in_flight: usize,
}

/// Returns whether, in broadcast mode, an endpoint is left out while enough others are healthy. After a
/// failure one attempt at a time is sent to the endpoint, to find out whether it is healthy again.
pub(crate) fn is_unfit_in_broadcast_mode(input: &BroadcastFitnessInput) -> bool {
    let awaits_first_response = input.consecutive_failures > 0 && input.in_flight > 0;
    input.is_outlier || awaits_first_response
}

/// The health of an endpoint in a large fleet, and the idempotency of the request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LargeFleetFitnessInput {
    /// The endpoint is an outlier by this gateway's own attempts.
    pub is_outlier: bool,
    /// The endpoint is ejected for the request's class or plan.
    pub is_ejected_for_request: bool,
    /// The endpoint no longer gives any gateway a good response.
    pub is_unresponsive: bool,
    /// Number of observations of failed or slow attempts at the endpoint since its last good response.
    pub failure_observations: u32,
    /// Whether another attempt of the request is safe once an earlier one may have run.
    pub idempotency: Idempotency,
}

/// The fitness of an endpoint for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EndpointFitness {
    /// The endpoint is left out while enough others are healthy.
    pub is_unfit: bool,
    /// The endpoint is suspected not to respond to this request, so that it costs more. It is unresponsive,
    /// or an attempt failed or was slow there since its last good response and the request is not idempotent.
    pub is_suspect: bool,
}

/// Returns whether, in a large fleet, an endpoint is fit for a request. Only idempotent requests are sent to
/// an endpoint at which attempts have failed or been slow since its last good response, to find out whether
/// it is healthy again: any other request may not be retried freely if its response is lost.
pub(crate) fn fitness_in_large_fleet(input: &LargeFleetFitnessInput) -> EndpointFitness {
    let is_idempotent = input.idempotency == Idempotency::Idempotent;
    let must_avoid = !is_idempotent && input.failure_observations > 0;
    EndpointFitness {
        is_unfit: input.is_outlier || input.is_ejected_for_request || must_avoid,
        is_suspect: input.is_unresponsive || must_avoid,
    }
}
