//! Gossip mode: how many quota requests a gateway may send.
use crate::policy::peer_messages::message_capacity::peer_messages_per_second;

/// Fraction of the messages a gateway accepts that the quota requests of others and the responses to its own
/// may use together.
const QUOTA_MESSAGE_FRACTION: f64 = 0.9;

/// Fraction of the messages a gateway accepts that the responses to its own quota requests may use at least.
const MIN_QUOTA_MESSAGE_FRACTION: f64 = 0.2;

/// Message tokens for quota requests that a gateway starts with.
pub(crate) const INITIAL_MESSAGE_TOKENS: f64 = 10.0;

/// Quota requests per second that this gateway may send: what others' messages leave free for the responses.
/// `accepted_per_second` is how many messages a gateway accepts, `received_per_second` how many others send.
pub(crate) fn quota_messages_per_second(accepted_per_second: f64, received_per_second: f64) -> f64 {
    let free_per_second = QUOTA_MESSAGE_FRACTION * accepted_per_second - received_per_second;
    free_per_second.max(MIN_QUOTA_MESSAGE_FRACTION * accepted_per_second)
}

/// Message tokens that may be saved up: as many as all peers of a gateway may send it in a second.
pub(crate) fn max_quota_messages(accepted_per_second: f64) -> f64 {
    peer_messages_per_second(accepted_per_second)
}
