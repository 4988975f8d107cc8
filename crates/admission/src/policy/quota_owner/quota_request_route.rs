//! Decides whether a gateway sends the owner a quota request, how long it waits for the response, and when it
//! sends the quota request again.
use crate::messages::quota_message::SamplingFraction;
use crate::state::{QuotaExpectation, QuotaRoute};

/// Time that a gateway waits for an owner's response, as a fraction of the shortest latency objective.
const RESPONSE_WAIT_FRACTION: f64 = 0.1;

/// Shortest wait for an owner's response, in ms.
const MIN_RESPONSE_WAIT_MS: f64 = 60.0;

/// Maximum number of times that a quota request is sent again.
const MAX_RESENDS: u32 = 3;

/// A quota request is sent again only while this gateway has more than this fraction of its maximum message
/// tokens.
const RESEND_MESSAGE_TOKENS_FRACTION: f64 = 0.5;

/// Time that a granted request must have left, in mean response times. A later grant is of no use.
const MIN_RESPONSE_TIMES_LEFT_AFTER_GRANT: f64 = 0.8;

/// Number of message tokens that a quota request to another gateway costs.
pub(crate) const TOKENS_PER_QUOTA_REQUEST: f64 = 1.0;

/// Inputs of the decision whether the owner is sent a quota request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QuotaRouteInput {
    /// Whether this gateway owns the quota itself, so that no message is needed.
    pub(crate) owns_quota: bool,
    /// Number of earlier sendings of the quota request, none of which got a response: 0 if it is now sent for
    /// the first time.
    pub(crate) resends: u32,
    /// Fraction of the customer's requests for which this gateway sends quota requests.
    pub(crate) sampling: SamplingFraction,
    /// Random number, uniformly distributed from 0 to 1.
    pub(crate) draw: f64,
    /// Message tokens of this gateway: the number of quota requests that it may send now.
    pub(crate) message_tokens: f64,
}

/// Returns whether the owner is sent a quota request. If the owner wants quota requests for some requests
/// only, the requests that are not sampled are most likely over the quota. Only the first sending of a quota
/// request is subject to sampling.
pub(crate) fn route_quota_request(input: QuotaRouteInput) -> QuotaRoute {
    let is_sampled = input.draw <= input.sampling.fraction();
    if input.owns_quota {
        QuotaRoute::ToOwner
    } else if input.resends == 0 && !is_sampled {
        QuotaRoute::WithoutOwner(QuotaExpectation::Over)
    } else if input.message_tokens < TOKENS_PER_QUOTA_REQUEST {
        let expectation = if input.sampling == SamplingFraction::ALL {
            QuotaExpectation::Within
        } else {
            QuotaExpectation::Over
        };
        QuotaRoute::WithoutOwner(expectation)
    } else {
        QuotaRoute::ToOwner
    }
}

/// Returns how long a gateway waits for an owner's response, in ms.
pub(crate) fn response_wait_ms(shortest_objective_ms: f64) -> f64 {
    (RESPONSE_WAIT_FRACTION * shortest_objective_ms).max(MIN_RESPONSE_WAIT_MS)
}

/// Returns whether a quota request is sent again after the owner did not respond in time. `resends` is the
/// number of times that it was already sent again after the first sending, and `max_message_tokens` is the
/// number of message tokens that a gateway may save up. A missing response says nothing about the customer,
/// which is most likely within its quota.
pub(crate) fn route_after_missed_response(
    resends: u32,
    message_tokens: f64,
    max_message_tokens: f64,
) -> QuotaRoute {
    if resends < MAX_RESENDS && message_tokens > RESEND_MESSAGE_TOKENS_FRACTION * max_message_tokens {
        QuotaRoute::ToOwner
    } else {
        QuotaRoute::WithoutOwner(QuotaExpectation::Within)
    }
}

/// Returns until when a grant is of use to a request, in ms on the clock of `objective_at_ms` and
/// `deadline_at_ms`.
pub(crate) fn grant_useful_until_ms(objective_at_ms: f64, deadline_at_ms: f64, mean_response_ms: f64) -> f64 {
    objective_at_ms.min(deadline_at_ms) - MIN_RESPONSE_TIMES_LEFT_AFTER_GRANT * mean_response_ms
}
