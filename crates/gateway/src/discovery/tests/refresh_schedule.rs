//! The tests of the times of calls, compared with the lease on the list, and of the backoff window after
//! rejections.
use super::{
    broken_long_poll, schedule_for_polled_lists, unanswered_first_call, unanswered_long_poll, LEASE_DURATION,
};
use crate::discovery::error::DiscoveryError;
use crate::discovery::list_lease::{LEASE_MARGIN, MAX_DELAY_AFTER_ADDRESS_CHANGE, MAX_PROPAGATION_DELAY};
use crate::discovery::refresh_policy::{
    CONNECT_TIMEOUT, INITIAL_BACKOFF_WINDOW, MAX_BACKOFF_WINDOW_PER_GATEWAY, QUEUED_RESPONSE_TIMEOUT,
};
use crate::discovery::refresh_schedule::{
    CallPosition, CallTimes, RefreshSchedule, MIN_INCONCLUSIVE_WINDOW, RESPONSE_ALLOWANCE,
};
use std::time::Duration;
use tokio::time::Instant;

/// A long poll that has just begun gets no response, or its connection is lost at any moment. If its wait
/// or the pause were too long, the list would expire although discovery is up. Expected: unless discovery
/// is overloaded, the response to the next call arrives before the lease expires, even after the longest
/// pause.
#[test]
fn polled_list_is_refreshed_before_lease_expires() {
    let start = Instant::now();
    let mut random = fastrand::Rng::with_seed(9);
    for gateways in [1, 30, 300, 5300, 100_000] {
        for seed in 0..200 {
            let mut schedule = schedule_for_polled_lists(gateways, seed, start);
            for position in [CallPosition::First, CallPosition::Later] {
                let CallTimes { wait, response_timeout } = schedule.call_times(position, start);
                assert!(wait >= Duration::from_millis(1500), "{position:?}: {wait:?}");
                let timed_out_at = start + wait + response_timeout;
                let retried_at = timed_out_at + schedule.on_error(&unanswered_long_poll(), timed_out_at);
                assert!(
                    retried_at + RESPONSE_ALLOWANCE <= start + LEASE_DURATION,
                    "{position:?}: {:?}",
                    retried_at - start
                );
                let broken_at = start + (wait + response_timeout).mul_f64(random.f64());
                let retried_at = broken_at + schedule.on_error(&broken_long_poll(), broken_at);
                assert!(
                    retried_at + RESPONSE_ALLOWANCE <= start + LEASE_DURATION,
                    "{position:?}: {:?}",
                    retried_at - start
                );
            }
        }
    }
    // The wait is long enough that the long polls of an idle fleet do not overload discovery.
    let schedule = schedule_for_polled_lists(300, 5, start);
    let CallTimes { wait, response_timeout } = schedule.call_times(CallPosition::Later, start);
    assert_eq!(wait, Duration::from_millis(3500));
    assert_eq!(
        wait + response_timeout + MIN_INCONCLUSIVE_WINDOW + RESPONSE_ALLOWANCE,
        MAX_PROPAGATION_DELAY - LEASE_MARGIN
    );
    // The worst case after an outage: an attempt to connect began just before its end, and times out.
    assert!(
        CONNECT_TIMEOUT + INITIAL_BACKOFF_WINDOW + RESPONSE_ALLOWANCE <= MAX_PROPAGATION_DELAY - LEASE_MARGIN
    );
    // After SIGHUP has changed the address, the first call starts immediately and may be queued.
    assert!(QUEUED_RESPONSE_TIMEOUT + RESPONSE_ALLOWANCE <= MAX_DELAY_AFTER_ADDRESS_CHANGE - LEASE_MARGIN);
}

/// Discovery rejects calls because it is overloaded. Pauses of a fixed length would keep it overloaded, and
/// unbounded pauses would delay the first call after its recovery. Expected: the window widens with
/// rejections up to its bound and narrows with lists, pauses stay short after calls without a response, and
/// gateways with different seeds draw different pauses.
#[test]
fn backoff_window_widens_on_rejections_and_narrows_on_lists() {
    // An expired list is used, because pauses are shorter while the list is valid.
    let now = Instant::now() + LEASE_DURATION;
    let expired_schedule = |gateways, seed| schedule_for_polled_lists(gateways, seed, now - LEASE_DURATION);
    let mut schedule = expired_schedule(100, 7);
    let max_pause = MAX_BACKOFF_WINDOW_PER_GATEWAY * 100;
    let pauses: Vec<Duration> = (0..200).map(|_| schedule.on_error(&DiscoveryError::Rejected, now)).collect();
    assert!(pauses[0] <= INITIAL_BACKOFF_WINDOW);
    assert!(pauses.iter().all(|p| *p <= max_pause));
    assert!(pauses.iter().any(|p| *p > max_pause / 2), "the window has grown");
    let pause_after_no_response =
        |schedule: &mut RefreshSchedule| schedule.on_error(&unanswered_first_call(), now);
    assert!(
        (0..200).all(|_| pause_after_no_response(&mut schedule) <= INITIAL_BACKOFF_WINDOW),
        "pauses after calls without a response stay short, so that the end of an outage is noticed"
    );
    (0..20).for_each(|_| schedule.on_list(Duration::ZERO, now));
    assert!(schedule.on_error(&DiscoveryError::Rejected, now) <= INITIAL_BACKOFF_WINDOW);
    let mut other = expired_schedule(100, 8);
    assert!(
        (0..10).any(|i| other.on_error(&DiscoveryError::Rejected, now) != pauses[i]),
        "gateways draw different pauses"
    );
    assert!(expired_schedule(usize::MAX, 7).on_error(&DiscoveryError::Rejected, now) > Duration::ZERO);
}
