//! The tests of the dispatcher's timers.
use crate::dispatcher::timers::{Due, Rearm, TimerQueue};
use irishinge_admission::RequestId;
use std::time::Duration;
use tokio::time::Instant;

/// A deadline guard is scheduled after a later timer. In the order of scheduling it would respond too late.
/// Expected: timers expire in the order of their times, and none before its time.
#[test]
fn timers_expire_in_order_of_time_and_not_before() {
    let start = Instant::now();
    let later = start + Duration::from_millis(1);
    let mut timers = TimerQueue::default();
    timers.push(later, Due::Timer(2));
    timers.push(start, Due::DeadlineGuard(RequestId(1)));
    assert!(timers.pop_due(start) == Some(Due::DeadlineGuard(RequestId(1))));
    assert!(timers.pop_due(start).is_none(), "the other is due later");
    assert!(timers.pop_due(later) == Some(Due::Timer(2)));
    assert!(timers.pop_due(later).is_none());
}

/// The timer task sleeps until the next timer. Not woken for an earlier one, it would respond after a
/// deadline; woken for each, it would cost processor time with every request. Expected: it is woken for an
/// earlier time only.
#[test]
fn the_timer_task_is_woken_only_for_an_earlier_time_than_it_sleeps_for() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut timers = TimerQueue::default();
    assert!(timers.push(at(20), Due::Timer(1)) == Rearm::Needed, "it sleeps for nothing yet");
    assert_eq!(timers.arm(), Some(at(20)));
    assert!(timers.push(at(30), Due::Timer(2)) == Rearm::NotNeeded);
    assert!(timers.push(at(20), Due::Timer(3)) == Rearm::NotNeeded);
    assert!(timers.push(at(10), Due::Timer(4)) == Rearm::Needed);
    assert_eq!(timers.arm(), Some(at(10)));
}
