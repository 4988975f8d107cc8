//! Large fleets: from which endpoints no gateway gets responses. A gateway there sends to an endpoint too
//! seldom to judge it alone.

/// Attempts known to have got no response since the last response; fewer may be chance.
const MIN_MISSED_RESPONSES: u32 = 2;

/// Responses of a usual endpoint that would have been observed in the time without one.
const UNRESPONSIVE_OBSERVATIONS: f64 = 2.5;

/// Longest time without an observed response that is needed, in ms.
const MAX_UNRESPONSIVE_MS: f64 = 2000.0;

/// What is observed of an endpoint, by this gateway and by those it receives messages from.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnresponsiveInput {
    /// Attempts that got no response since the last response.
    pub missed_responses: u32,
    /// Time since the last response, in ms.
    pub since_response_ms: f64,
    /// Responses of all endpoints that are observed, a second.
    pub observed_responses_per_second: f64,
    /// Endpoints of the list.
    pub endpoints: usize,
}

/// Whether the fleet, as far as is known here, gets no responses from an endpoint any more.
pub(crate) fn is_unresponsive(input: &UnresponsiveInput) -> bool {
    let per_endpoint = input.observed_responses_per_second / input.endpoints.max(1) as f64;
    let limit_ms = (1000.0 * UNRESPONSIVE_OBSERVATIONS / per_endpoint).min(MAX_UNRESPONSIVE_MS);
    input.missed_responses >= MIN_MISSED_RESPONSES && input.since_response_ms > limit_ms
}
