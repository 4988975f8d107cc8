//! Gossip mode: how many quota requests a gateway may send. Each costs a message token.
use crate::policy::peer_messages::message_capacity::planned_messages_per_second;

/// Fraction of the messages accepted by a gateway that its peers' quota requests and releases and the
/// responses to its own quota requests may use together.
const QUOTA_MESSAGE_FRACTION: f64 = 0.9;

/// Lower bound of the rate of this gateway's quota requests, as a fraction of the messages that a gateway
/// accepts. The responses to them use that fraction.
const MIN_QUOTA_REQUEST_FRACTION: f64 = 0.2;

/// Number of message tokens that a gateway starts with.
pub(crate) const INITIAL_MESSAGE_TOKENS: f64 = 10.0;

/// Returns the quota requests per second that this gateway may send, so that it can accept the responses in
/// addition to its peers' messages. `accepted_per_second` is the number of messages that a gateway accepts,
/// and `received_per_second` the number of quota requests and releases that peers send.
pub(crate) fn quota_requests_per_second(accepted_per_second: f64, received_per_second: f64) -> f64 {
    let free_per_second = QUOTA_MESSAGE_FRACTION * accepted_per_second - received_per_second;
    free_per_second.max(MIN_QUOTA_REQUEST_FRACTION * accepted_per_second)
}

/// Returns the number of message tokens that a gateway may save up: the number of messages that all its peers
/// may send it in a second.
pub(crate) fn max_message_tokens(accepted_per_second: f64) -> f64 {
    planned_messages_per_second(accepted_per_second)
}
