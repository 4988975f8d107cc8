//! How many messages a gateway's peers may send it, and how long their reports count.

/// A peer's report counts for this time, in ms.
pub(crate) const PEER_TIMEOUT_MS: f64 = 2000.0;

/// Fraction of the messages a gateway accepts that all its peers together plan to send. The rest absorbs
/// messages that happen to arrive together.
const PEER_MESSAGE_FRACTION: f64 = 0.7;

/// Longest message in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 256;

/// Messages per second that all peers of a gateway together may send it. `accepted_per_second` is how many it
/// accepts.
pub(crate) fn peer_messages_per_second(accepted_per_second: f64) -> f64 {
    PEER_MESSAGE_FRACTION * accepted_per_second
}
