//! The wait and the timeouts of calls in each discovery mode. The gateway receives lists by long polling in
//! both modes. If lists are pushed, discovery pushes them to an agent on the gateway's own machine, and the
//! gateway calls that agent. If lists are polled, all gateways of the fleet call one service.
use super::list_lease::LEASE_DURATION;
use crate::clock::duration_from_ms;
use crate::http_connection::REUSE_DELAY;
use irishinge_settings::{DeploymentSettings, DiscoveryMode};
use std::time::Duration;

/// The longest time from a pushed list until the end of the next long poll's wait, as a fraction of the drain
/// grace. The long poll begins when its connection may be reused.
///
/// Calls to the agent cost nothing and are not queued: the agent responds as soon as the list changes or the
/// wait is over. The drain grace of a change starts when the agent has the change. So after any failure the
/// next list must arrive well within the grace.
const PUSHED_WAIT_FRACTION: f64 = 0.4;
/// The timeout of a connection attempt to the agent, and of a response after the wait of its call, as a
/// fraction of the drain grace.
const PUSHED_TIMEOUT_FRACTION: f64 = 0.2;
/// The widest window from which the pause after a failed call to the agent is drawn, as a fraction of the
/// drain grace.
const PUSHED_WINDOW_FRACTION: f64 = 0.05;
/// The maximum drain grace that these times are computed from, so that a longer one does not make lists
/// arrive later.
const MAX_GRACE: Duration = Duration::from_millis(2500);
/// The minimum drain grace that these times are computed from, so that there is time for a response.
const MIN_GRACE: Duration = Duration::from_millis(250);

/// The timeout of a response after the wait of a long poll for polled lists. Because the connection may have
/// been dead from the start of the long poll, the wait is short enough that this timeout, a pause and the
/// response to the next call fit into the lease.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout of a response to the first call on a connection, and to any call while discovery is
/// overloaded. Discovery queues calls for 2 s before it rejects them, and still serves those whose caller has
/// abandoned them. So the gateway abandons no call before that time.
pub(super) const QUEUED_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2200);
/// The timeout of a connection attempt to a discovery that is polled: enough for one packet of the handshake
/// to be lost and sent again.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(1150);
/// The initial backoff window for polled lists, which does not depend on the size of the fleet.
pub(super) const INITIAL_BACKOFF_WINDOW: Duration = Duration::from_millis(2000);
/// The maximum backoff window for polled lists, per gateway of the fleet. A larger fleet has a wider window,
/// so that the rate of all gateways' calls together is bounded at any size.
pub(super) const MAX_BACKOFF_WINDOW_PER_GATEWAY: Duration = Duration::from_millis(120);

/// The wait of a long poll, the timeouts of connections and calls, and the bounds of the window from which
/// the pause after a failed call is drawn.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RefreshPolicy {
    /// The longest time for which discovery may delay its response to a long poll while the list does not
    /// change.
    pub(super) long_poll_wait: Duration,
    /// The timeout of a response, counted from the end of the wait.
    pub(super) response_timeout: Duration,
    /// The timeout of a response that may be queued: to the first call on a connection, and to any call while
    /// discovery is overloaded.
    pub(super) queued_response_timeout: Duration,
    /// The timeout of a connection attempt.
    pub(super) connect_timeout: Duration,
    /// The initial backoff window.
    pub(super) initial_backoff_window: Duration,
    /// The widest backoff window.
    pub(super) max_backoff_window: Duration,
    /// Whether lists are pushed. If they are, the first call on each connection requests the complete list
    /// even if a revision is cached, and one timeout covers the connection attempt and that call together.
    pub(super) lists_are_pushed: bool,
    /// The time for which a list may be used after it was last known to be current, or `None` if lists never
    /// expire.
    pub(super) lease_duration: Option<Duration>,
}

impl RefreshPolicy {
    /// Returns the policy for the discovery mode of the settings and a fleet of `gateways`.
    pub(crate) fn new(settings: &DeploymentSettings, gateways: usize) -> Self {
        match settings.discovery_mode {
            DiscoveryMode::Pushed => Self::for_pushed_lists(duration_from_ms(settings.drain_grace_ms)),
            DiscoveryMode::Polled => Self::for_polled_lists(gateways),
        }
    }

    /// Returns the policy for lists that are pushed to an agent; all times derive from the drain grace.
    fn for_pushed_lists(drain_grace: Duration) -> Self {
        let grace = drain_grace.clamp(MIN_GRACE, MAX_GRACE);
        let timeout = grace.mul_f64(PUSHED_TIMEOUT_FRACTION);
        let max_backoff_window = grace.mul_f64(PUSHED_WINDOW_FRACTION);
        RefreshPolicy {
            long_poll_wait: grace.mul_f64(PUSHED_WAIT_FRACTION).saturating_sub(REUSE_DELAY),
            response_timeout: timeout,
            queued_response_timeout: timeout,
            connect_timeout: timeout,
            initial_backoff_window: max_backoff_window / 2,
            max_backoff_window,
            lists_are_pushed: true,
            lease_duration: None,
        }
    }

    /// Returns the policy for lists that are polled by a fleet of `gateways`.
    fn for_polled_lists(gateways: usize) -> Self {
        let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
        RefreshPolicy {
            long_poll_wait: LEASE_DURATION,
            response_timeout: RESPONSE_TIMEOUT,
            queued_response_timeout: QUEUED_RESPONSE_TIMEOUT,
            connect_timeout: CONNECT_TIMEOUT,
            initial_backoff_window: INITIAL_BACKOFF_WINDOW,
            max_backoff_window: MAX_BACKOFF_WINDOW_PER_GATEWAY
                .saturating_mul(gateways)
                .max(INITIAL_BACKOFF_WINDOW),
            lists_are_pushed: false,
            lease_duration: Some(LEASE_DURATION),
        }
    }
}
