//! Figures of the messages between gateways.
use crate::settings::Settings;

/// A peer's told stock counts for this long (the design's two seconds).
pub(crate) const PEER_TIMEOUT_MS: f64 = 2000.0;

/// Part of the messages that a peer takes in that all its peers together use: room for chance.
pub(crate) const PEER_MESSAGE_FRACTION: f64 = 0.7;

/// Shortest time between two rounds of telling.
pub(crate) const MIN_REPORT_INTERVAL_MS: f64 = 40.0;

/// A peer hears from us at least this often.
pub(crate) const MAX_REPORT_INTERVAL_MS: f64 = 400.0;

/// Longest message, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 256;

/// Rounds in which a changed count is told: once more than needed heals one loss at once.
pub(crate) const REPORT_ROUNDS: u8 = 2;

/// Customers kept at most; the idle ones beyond go first.
pub(crate) const MAX_CUSTOMERS: usize = 50_000;

/// How fast the told mean stock follows the own, a second.
pub(crate) const MEAN_GAIN_PER_SECOND: f64 = 2.0;

/// Weight of each told mean in what the band goes by: own attempts, few and jumpy, stay out of it.
pub(crate) const RECEIVED_MEAN_GAIN: f64 = 0.15;

/// Whether gateways are few enough to send their counts to every other often enough.
pub(crate) fn broadcast_reaches_all(settings: &Settings) -> bool {
    let received = if settings.peer_messages_allowed { settings.peer_messages_per_second } else { 0.0 };
    settings.gateways as f64 - 1.0 <= PEER_MESSAGE_FRACTION * received * MAX_REPORT_INTERVAL_MS / 1000.0
}
