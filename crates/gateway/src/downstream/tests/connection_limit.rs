//! What becomes of a new connection, branch by branch.
use crate::downstream::connection_limit::{ConnectionLimit, Placement};
use crate::downstream::connection_table::Eviction;

const LIMIT: ConnectionLimit = ConnectionLimit { max_serving: 10, max_rejecting: 2 };

#[test]
fn a_connection_is_evicted_from_the_limit_on() {
    for (open, is_needed) in [(0, false), (9, false), (10, true), (11, true), (12, true)] {
        assert_eq!(LIMIT.needs_eviction(open), is_needed, "{open} open");
    }
}

#[test]
fn a_new_connection_is_placed_by_the_open_ones_and_the_eviction() {
    let cases = [
        (0, None, Placement::Serve),
        (9, None, Placement::Serve),
        (10, Some(Eviction::Evicted), Placement::Serve),
        (11, Some(Eviction::Evicted), Placement::Serve),
        (12, Some(Eviction::Evicted), Placement::ServeAfterClose),
        (10, Some(Eviction::AllActive), Placement::Reject),
        (11, Some(Eviction::AllActive), Placement::Reject),
        (12, Some(Eviction::AllActive), Placement::Close),
    ];
    for (open, eviction, placement) in cases {
        assert_eq!(LIMIT.place(open, eviction), placement, "{open} open, {eviction:?}");
    }
}
