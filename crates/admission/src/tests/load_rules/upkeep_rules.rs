//! The times at which periodic work is due, and the time-out of an attempt.
use crate::policy::retry::attempt_timeout_ms;
use crate::policy::upkeep::{
    eviction_is_due, review_is_due, upkeep_interval_ms_in_broadcast_mode, upkeep_interval_ms_in_large_fleet,
    upkeep_is_due,
};

#[test]
fn upkeep_is_rarer_only_in_a_large_fleet_without_requests() {
    let intervals_ms = [
        upkeep_interval_ms_in_broadcast_mode(),
        upkeep_interval_ms_in_large_fleet(true),
        upkeep_interval_ms_in_large_fleet(false),
    ];
    assert_eq!(intervals_ms, [20.0, 20.0, 100.0]);
}

#[test]
fn periodic_work_is_due_once_its_interval_has_passed() {
    assert!(
        upkeep_is_due(99.5, 100.0) && !upkeep_is_due(99.4, 100.0),
        "a timer may fire half a millisecond early"
    );
    assert!(review_is_due(100.0) && !review_is_due(99.0));
    assert!(eviction_is_due(1000.0) && !eviction_is_due(999.0));
}

#[test]
fn attempt_timeout_is_two_objectives_but_at_most_the_time_left() {
    for (time_left_ms, timeout_ms) in [(3000.0, 2000.0), (1500.0, 1500.0), (-5.0, 1.0)] {
        assert_eq!(attempt_timeout_ms(1000.0, time_left_ms), timeout_ms);
    }
}
