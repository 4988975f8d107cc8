//! Which connection is evicted first where a new one needs its place.
use super::connection::ConnectionStage;
use std::cmp::Reverse;
use std::time::Duration;

/// A connection that is silent for this long after its accept is among the first to be evicted. A usual
/// client writes its first request as soon as it is connected.
pub(super) const MIN_SILENCE: Duration = Duration::from_millis(20);
/// A connection that is idle for this long after a response is among the first to be evicted.
pub(super) const MIN_IDLE: Duration = Duration::from_secs(2);

/// A connection's place in the order of eviction: the least is evicted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    /// It has been in its stage for less than the stage's minimum.
    is_recent: bool,
    stage: ConnectionStage,
    time_in_stage: Reverse<Duration>,
}

impl EvictionRank {
    /// The rank of a connection that has been in `stage` for `time_in_stage`; `None` if it must not be
    /// evicted, because it carries a request or closes already.
    pub(super) fn new(stage: ConnectionStage, time_in_stage: Duration) -> Option<Self> {
        let min_time = match stage {
            ConnectionStage::AwaitingFirstRequest => MIN_SILENCE,
            ConnectionStage::Idle => MIN_IDLE,
            ConnectionStage::Active | ConnectionStage::Aborted => return None,
        };
        let is_recent = time_in_stage < min_time;
        Some(EvictionRank { is_recent, stage, time_in_stage: Reverse(time_in_stage) })
    }
}
