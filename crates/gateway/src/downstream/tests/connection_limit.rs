//! Tests of the decision on a new connection, with a case for each branch.
use crate::downstream::connection_limit::{AcceptDecision, ConnectionLimit};
use crate::downstream::connection_table::Eviction;

const LIMIT: ConnectionLimit = ConnectionLimit { max_serving: 10, max_beyond_limit: 2 };

#[test]
fn eviction_is_needed_from_the_limit_on() {
    for (open, is_needed) in [(0, false), (9, false), (10, true), (11, true), (12, true)] {
        assert_eq!(LIMIT.needs_eviction(open), is_needed, "{open} open");
    }
}

#[test]
fn new_connection_is_served_if_there_is_room_else_rejected_or_closed() {
    let cases = [
        (0, None, AcceptDecision::Serve),
        (9, None, AcceptDecision::Serve),
        (10, Some(Eviction::Evicted), AcceptDecision::Serve),
        (11, Some(Eviction::Evicted), AcceptDecision::Serve),
        (12, Some(Eviction::Evicted), AcceptDecision::ServeAfterClose),
        (10, Some(Eviction::NoneEvictable), AcceptDecision::Reject),
        (11, Some(Eviction::NoneEvictable), AcceptDecision::Reject),
        (12, Some(Eviction::NoneEvictable), AcceptDecision::Close),
    ];
    for (open, eviction, expected) in cases {
        assert_eq!(LIMIT.decide(open, eviction), expected, "{open} open, {eviction:?}");
    }
}
