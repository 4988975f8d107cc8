//! The order in which connections are evicted to make room for new ones.
use super::connection::ConnectionStage;
use std::cmp::Reverse;
use std::time::Duration;

/// A connection on which no complete request has arrived for this long after its accept (a silent connection)
/// is among the first to be evicted. A typical client writes its first request as soon as it is connected.
pub(super) const MIN_SILENCE: Duration = Duration::from_millis(20);
/// A connection that has been idle for this long after a response is among the first to be evicted.
pub(super) const MIN_IDLE: Duration = Duration::from_secs(2);

/// A connection that has had its last response for this long is among the first to be evicted. Its client has
/// had time to read the response.
pub(super) const MIN_DISCARDING: Duration = Duration::from_millis(200);

/// The position of a connection in the order of eviction. The connection with the lowest rank is evicted
/// first: connections that are not recent before recent ones, then by stage, then those that have been in
/// their stage for longest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    /// Whether the connection has been in its stage for less than [`MIN_DISCARDING`] after its last response,
    /// [`MIN_SILENCE`] if it awaits its first request, or [`MIN_IDLE`] if it is idle after a response.
    is_recent: bool,
    /// The stage of the connection.
    stage: ConnectionStage,
    /// How long the connection has been in its stage.
    time_in_stage: Reverse<Duration>,
}

impl EvictionRank {
    /// Returns the rank of a connection that has been in `stage` for `time_in_stage`, or `None` if it must
    /// not be evicted because it has a request in progress or is closing already.
    pub(super) fn new(stage: ConnectionStage, time_in_stage: Duration) -> Option<Self> {
        let min_time = match stage {
            ConnectionStage::Discarding => MIN_DISCARDING,
            ConnectionStage::AwaitingFirstRequest => MIN_SILENCE,
            ConnectionStage::Idle => MIN_IDLE,
            ConnectionStage::InUseOrClosing | ConnectionStage::Aborted => return None,
        };
        let is_recent = time_in_stage < min_time;
        Some(EvictionRank { is_recent, stage, time_in_stage: Reverse(time_in_stage) })
    }
}
