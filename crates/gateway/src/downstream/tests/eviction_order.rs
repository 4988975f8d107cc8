//! The order of eviction, connection by connection.
use crate::downstream::connection::ConnectionStage::{self, Active, AwaitingFirstRequest, Discarded, Idle};
use crate::downstream::eviction_order::{EvictionRank, MIN_IDLE, MIN_SILENCE};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

#[test]
fn connections_are_ranked_by_whether_they_are_recent_then_by_stage_then_by_time() {
    let in_order = [
        (AwaitingFirstRequest, MIN_IDLE),
        (AwaitingFirstRequest, MIN_SILENCE),
        (Idle, MIN_IDLE + MS),
        (Idle, MIN_IDLE),
        (AwaitingFirstRequest, MIN_SILENCE - MS),
        (AwaitingFirstRequest, Duration::ZERO),
        (Idle, MIN_IDLE - MS),
        (Idle, Duration::ZERO),
    ];
    let rank = |(stage, time): (ConnectionStage, Duration)| EvictionRank::new(stage, time).expect("a rank");
    for (first, second) in in_order.iter().zip(&in_order[1..]) {
        assert!(rank(*first) < rank(*second), "{first:?} before {second:?}");
    }
}

#[test]
fn connections_with_a_request_and_closing_ones_have_no_rank() {
    for stage in [Active, Discarded] {
        assert_eq!(EvictionRank::new(stage, Duration::from_secs(60)), None, "{stage:?}");
    }
}
