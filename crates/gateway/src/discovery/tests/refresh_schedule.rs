//! The times of calls against the lease of the list, and the backoff window after rejections.
use super::{reset_watch, schedule_for_polled_lists, silent_call, silent_watch, LEASE_DURATION};
use crate::discovery::error::DiscoveryError;
use crate::discovery::list_lease::{CHANGE_KNOWN_AFTER, CHANGE_KNOWN_AFTER_ADDRESS_CHANGE, LEASE_MARGIN};
use crate::discovery::refresh_policy::{
    CONNECT_TIMEOUT, INITIAL_BACKOFF, MAX_BACKOFF_PER_GATEWAY, QUEUED_RESPONSE_TIMEOUT,
};
use crate::discovery::refresh_schedule::{
    CallPosition, CallTimes, RefreshSchedule, MIN_RETRY_WINDOW, RESPONSE_ALLOWANCE,
};
use std::time::Duration;
use tokio::time::Instant;

/// A watch that has just been opened gets no response, or breaks at any moment. If its wait and the pause
/// were longer, the list would expire although discovery is up. Expected: the response to the next call
/// arrives before the lease expires, even after the longest pause, unless discovery is overloaded.
#[test]
fn requested_list_is_refreshed_before_its_lease_expires() {
    let start = Instant::now();
    let mut random = fastrand::Rng::with_seed(9);
    for gateways in [1, 30, 300, 5300, 100_000] {
        for seed in 0..200 {
            let mut schedule = schedule_for_polled_lists(gateways, seed, start);
            for position in [CallPosition::First, CallPosition::Later] {
                let CallTimes { wait, response_timeout } = schedule.call_times(position, start);
                assert!(wait >= Duration::from_millis(1500), "{position:?}: {wait:?}");
                let noticed = start + wait + response_timeout;
                let again = noticed + schedule.on_error(&silent_watch(), noticed);
                assert!(
                    again + RESPONSE_ALLOWANCE <= start + LEASE_DURATION,
                    "{position:?}: {:?}",
                    again - start
                );
                let broke = start + (wait + response_timeout).mul_f64(random.f64());
                let again = broke + schedule.on_error(&reset_watch(), broke);
                assert!(
                    again + RESPONSE_ALLOWANCE <= start + LEASE_DURATION,
                    "{position:?}: {:?}",
                    again - start
                );
            }
        }
    }
    // The wait is long enough that the watches of an idle fleet do not overload discovery.
    let schedule = schedule_for_polled_lists(300, 5, start);
    let CallTimes { wait, response_timeout } = schedule.call_times(CallPosition::Later, start);
    assert_eq!(wait, Duration::from_millis(3500));
    assert_eq!(
        wait + response_timeout + MIN_RETRY_WINDOW + RESPONSE_ALLOWANCE,
        CHANGE_KNOWN_AFTER - LEASE_MARGIN
    );
    // The worst case at discovery's return: a call began just before, and its connection never comes up.
    assert!(CONNECT_TIMEOUT + INITIAL_BACKOFF + RESPONSE_ALLOWANCE <= CHANGE_KNOWN_AFTER - LEASE_MARGIN);
    // After SIGHUP the first call is begun at once, and may be queued.
    assert!(QUEUED_RESPONSE_TIMEOUT + RESPONSE_ALLOWANCE <= CHANGE_KNOWN_AFTER_ADDRESS_CHANGE - LEASE_MARGIN);
}

/// Discovery rejects calls because it is overloaded. Pauses of a fixed length would keep it overloaded, and
/// ones without a bound would miss its recovery. Expected: the window widens with rejections up to its
/// bound and narrows with lists, silence leaves pauses short, and gateways with different seeds draw
/// different pauses.
#[test]
fn backoff_window_widens_with_rejections_up_to_its_bound_and_narrows_with_lists() {
    // The list has expired: while it is valid, pauses are shorter.
    let now = Instant::now() + LEASE_DURATION;
    let expired_schedule = |gateways, seed| schedule_for_polled_lists(gateways, seed, now - LEASE_DURATION);
    let mut schedule = expired_schedule(100, 7);
    let most = MAX_BACKOFF_PER_GATEWAY * 100;
    let pauses: Vec<Duration> = (0..200).map(|_| schedule.on_error(&DiscoveryError::Rejected, now)).collect();
    assert!(pauses[0] <= INITIAL_BACKOFF);
    assert!(pauses.iter().all(|p| *p <= most));
    assert!(pauses.iter().any(|p| *p > most / 2), "the window has grown");
    let silent = |schedule: &mut RefreshSchedule| schedule.on_error(&silent_call(), now);
    assert!(
        (0..200).all(|_| silent(&mut schedule) <= INITIAL_BACKOFF),
        "the end of an outage must not be missed"
    );
    (0..20).for_each(|_| schedule.on_list(Duration::ZERO, now));
    assert!(schedule.on_error(&DiscoveryError::Rejected, now) <= INITIAL_BACKOFF);
    let mut other = expired_schedule(100, 8);
    assert!(
        (0..10).any(|i| other.on_error(&DiscoveryError::Rejected, now) != pauses[i]),
        "gateways draw different pauses"
    );
    assert!(expired_schedule(usize::MAX, 7).on_error(&DiscoveryError::Rejected, now) > Duration::ZERO);
}
