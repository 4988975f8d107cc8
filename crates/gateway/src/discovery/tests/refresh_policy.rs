//! The times of a watch on pushed lists, against the drain grace.
use super::policy;
use irishinge_settings::DiscoveryMode;
use std::time::Duration;

/// The worst case where lists are pushed: a watch has just been opened and gets no response, the pause
/// after it is the longest, and the connection and the list take their full timeout. A change counts as
/// delivered all the time. Expected: the list is refreshed within nine tenths of the drain grace, however
/// large the fleet.
#[test]
fn pushed_list_is_refreshed_within_the_grace_after_any_failure_of_the_watch() {
    for grace_ms in [250.0, 1000.0, 2000.0, 2500.0, 10_000.0] {
        for gateways in [1, 300, 100_000] {
            let policy = policy(DiscoveryMode::Pushed, gateways, grace_ms);
            let timeout = policy.response_timeout;
            assert!(policy.queued_response_timeout == timeout && policy.connect_timeout == timeout);
            let notice = policy.watch_wait + timeout;
            let back = policy.max_backoff.max(policy.initial_backoff) + timeout;
            let available = Duration::from_secs_f64(grace_ms / 1000.0).mul_f64(0.9);
            assert!(notice + back < available, "{grace_ms}: {notice:?} and {back:?}");
            // The same where a first call gets no response, at discovery's return or at a new address.
            assert!(timeout + back < available, "{grace_ms}: {timeout:?} and {back:?}");
            assert!(policy.complete_list_first, "revisions may have restarted");
        }
    }
}
