//! Whether a gateway sends the owner a quota request, how long it waits for the response, and when it sends
//! the quota request again.
use crate::messages::quota_message::SamplingFraction;
use crate::state::{QuotaExpectation, QuotaRoute};

/// How long a gateway waits for an owner's response, as a fraction of the shortest latency objective.
const RESPONSE_WAIT_FRACTION: f64 = 0.1;

/// Shortest wait for an owner's response, in ms.
const MIN_RESPONSE_WAIT_MS: f64 = 60.0;

/// How often a quota request is sent again at most.
const MAX_QUOTA_RETRIES: u32 = 3;

/// A quota request is sent again only while more than this fraction of the message tokens is left.
const RETRY_TOKENS_FRACTION: f64 = 0.5;

/// Mean response times that must be left once a request is granted: a later grant is of no use.
const RESERVED_RESPONSE_TIMES: f64 = 0.8;

/// Message tokens that a quota request to another gateway costs.
pub(crate) const TOKENS_PER_QUOTA_REQUEST: f64 = 1.0;

/// What decides whether the owner is sent a quota request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QuotaRouteInput {
    /// This gateway owns the quota itself, so that no message is needed.
    pub(crate) owns_quota: bool,
    /// How often the quota request was sent before without a response.
    pub(crate) retries: u32,
    /// Fraction of the requests that the owner wants quota requests for.
    pub(crate) sampling: SamplingFraction,
    /// A number drawn evenly from 0 to 1.
    pub(crate) draw: f64,
    /// Messages that this gateway may send now.
    pub(crate) message_tokens: f64,
}

/// Whether the owner is sent a quota request. Where it wants them for some requests only, the requests that
/// are not sampled are most likely over the quota.
pub(crate) fn route_quota_request(input: QuotaRouteInput) -> QuotaRoute {
    let is_sampled = input.draw <= input.sampling.fraction();
    if input.owns_quota {
        QuotaRoute::ToOwner
    } else if input.retries == 0 && !is_sampled {
        QuotaRoute::DecideAlone(QuotaExpectation::Over)
    } else if input.message_tokens < TOKENS_PER_QUOTA_REQUEST {
        let expectation = if input.sampling == SamplingFraction::ALL {
            QuotaExpectation::Within
        } else {
            QuotaExpectation::Over
        };
        QuotaRoute::DecideAlone(expectation)
    } else {
        QuotaRoute::ToOwner
    }
}

/// How long an owner may take to respond, in ms.
pub(crate) fn response_wait_ms(shortest_objective_ms: f64) -> f64 {
    (RESPONSE_WAIT_FRACTION * shortest_objective_ms).max(MIN_RESPONSE_WAIT_MS)
}

/// Whether a quota request that missed its response is sent to the owner once more. `retries` is how often it
/// was sent again already, `max_message_tokens` how many message tokens a gateway may save up. An owner that
/// does not respond says nothing against the customer, which is most likely within its quota.
pub(crate) fn route_after_missed_response(
    retries: u32,
    message_tokens: f64,
    max_message_tokens: f64,
) -> QuotaRoute {
    if retries < MAX_QUOTA_RETRIES && message_tokens > RETRY_TOKENS_FRACTION * max_message_tokens {
        QuotaRoute::ToOwner
    } else {
        QuotaRoute::DecideAlone(QuotaExpectation::Within)
    }
}

/// Until when a grant is of use to a request, in ms of the clock that objective and deadline are given in.
pub(crate) fn grant_useful_until_ms(objective_at_ms: f64, deadline_at_ms: f64, mean_response_ms: f64) -> f64 {
    objective_at_ms.min(deadline_at_ms) - RESERVED_RESPONSE_TIMES * mean_response_ms
}
