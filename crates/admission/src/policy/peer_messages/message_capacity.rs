//! Limits on the messages that a gateway's peers send it, and the time for which their reports are valid.

/// Time, in ms, for which a peer's report is valid.
pub(crate) const PEER_TIMEOUT_MS: f64 = 2000.0;

/// Fraction of the messages accepted by a gateway that all its peers together plan to send it. The rest
/// absorbs bursts of messages that happen to arrive together.
const PEER_MESSAGE_FRACTION: f64 = 0.7;

/// Maximum size of a message to a peer, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 256;

/// Returns the messages per second that all peers of a gateway together plan to send it. It is a fraction of
/// `accepted_per_second`, the messages per second that the gateway accepts.
pub(crate) fn planned_messages_per_second(accepted_per_second: f64) -> f64 {
    PEER_MESSAGE_FRACTION * accepted_per_second
}
