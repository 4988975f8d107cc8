//! The test of the times of calls for pushed lists, compared with the drain grace.
use super::policy;
use crate::http_connection::REUSE_DELAY;
use irishinge_settings::DiscoveryMode;
use std::time::Duration;

/// The worst case for pushed lists: the connection has just had a response and may not be reused yet, the long
/// poll then gets no response, the pause after it is the longest, and the connection and the first call take their full common timeout. The gateway counts
/// as notified of a change as soon as the agent has it. Expected: the list is refreshed within nine tenths
/// of the drain grace, for any size of the fleet.
#[test]
fn pushed_list_is_refreshed_within_drain_grace_after_failure() {
    for grace_ms in [250.0, 1000.0, 2000.0, 2500.0, 10_000.0] {
        for gateways in [1, 300, 100_000] {
            let policy = policy(DiscoveryMode::Pushed, gateways, grace_ms);
            let timeout = policy.response_timeout;
            assert!(policy.queued_response_timeout == timeout && policy.connect_timeout == timeout);
            let detection = REUSE_DELAY + policy.long_poll_wait + timeout;
            let recovery = policy.max_backoff_window.max(policy.initial_backoff_window) + timeout;
            let available = Duration::from_secs_f64(grace_ms / 1000.0).mul_f64(0.9);
            assert!(detection + recovery < available, "{grace_ms}: {detection:?} and {recovery:?}");
            // The same goes for a first call that gets no response, after an outage or at a new address.
            assert!(timeout + recovery < available, "{grace_ms}: {timeout:?} and {recovery:?}");
            assert!(
                policy.lists_are_pushed,
                "the first call requests the complete list: the agent may have restarted its revision numbers"
            );
        }
    }
}
