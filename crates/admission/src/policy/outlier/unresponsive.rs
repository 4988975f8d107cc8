//! Large fleets: detects endpoints that no longer give any gateway a good response. A gateway in a large
//! fleet sends too few attempts to an endpoint to tell by itself.

/// Observations of failed or slow attempts that there must have been since the last good response. One may be
/// chance. A single attempt that becomes slow and then fails is observed twice, which is enough.
const MIN_FAILURE_OBSERVATIONS: u32 = 2;

/// Number of good responses that an average endpoint would have given in the time without one.
const EXPECTED_RESPONSES: f64 = 2.5;

/// Time without an observed good response that is enough for an endpoint to be unresponsive, however few
/// responses are expected of it, in ms. `MIN_FAILURE_OBSERVATIONS` applies all the same.
const MAX_UNRESPONSIVE_MS: f64 = 2000.0;

/// Observations of an endpoint by this gateway and those that it receives messages from.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnresponsiveInput {
    /// Number of observations since the endpoint's last good response of attempts that failed, error
    /// responses included, or were slow. An attempt that is slow and then fails counts twice.
    pub failure_observations: u32,
    /// Time since the endpoint's last good response, in ms.
    pub since_good_response_ms: f64,
    /// Rate of observed good responses of all endpoints, per second.
    pub observed_responses_per_second: f64,
    /// Number of known endpoints. Draining ones count, and so do those no longer listed at which this gateway
    /// still has attempts in flight.
    pub endpoints: usize,
}

/// Returns whether an endpoint no longer gives any gateway a good response, as far as this gateway knows.
pub(crate) fn is_unresponsive(input: &UnresponsiveInput) -> bool {
    let per_endpoint = input.observed_responses_per_second / input.endpoints.max(1) as f64;
    let limit_ms = (1000.0 * EXPECTED_RESPONSES / per_endpoint).min(MAX_UNRESPONSIVE_MS);
    input.failure_observations >= MIN_FAILURE_OBSERVATIONS && input.since_good_response_ms > limit_ms
}
