//! The times of a watch, by how lists are obtained: pushed by an agent on the gateway's own machine, or
//! polled from one service that all gateways of the fleet call.
use super::list_lease::LEASE_DURATION;
use crate::clock::duration_from_ms;
use irishinge_settings::{DiscoveryMode, SocketSettings};
use std::time::Duration;

/// Where lists are pushed, the longest wait of a watch, as a fraction of the drain grace.
///
/// The agent answers at once and at no cost, and a change must be acted on within the grace from when the
/// agent has it. So after any failure the list must be received again well inside the grace.
const PUSHED_WAIT_FRACTION: f64 = 0.4;
/// Where lists are pushed, how long a connection, and a response beyond its wait, may take, as a fraction
/// of the drain grace.
const PUSHED_TIMEOUT_FRACTION: f64 = 0.2;
/// Where lists are pushed, the longest pause after a failed call, as a fraction of the drain grace.
const PUSHED_PAUSE_FRACTION: f64 = 0.05;
/// A longer drain grace counts as this long, so that it does not slow the watch down.
const MAX_GRACE: Duration = Duration::from_millis(2500);
/// A shorter drain grace counts as this long, so that there is time for a response.
const MIN_GRACE: Duration = Duration::from_millis(250);

/// Where lists are polled, how long after its wait a watch may stay unanswered. Its connection may have
/// been dead from the beginning, so the wait ends early enough for this, a pause, and the response to the
/// next call.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// The same for a first call, and for any call while discovery is overloaded. Discovery queues calls for
/// 2 s before it rejects them, and still serves those whose caller has abandoned them. So no call is
/// abandoned before that.
pub(super) const QUEUED_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2200);
/// Where lists are polled, how long a connection may take to come up: enough for one packet of the
/// handshake to be lost and sent again.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(1150);
/// Where lists are polled, the first window of pauses after failed calls, whatever the size of the fleet.
pub(super) const INITIAL_BACKOFF: Duration = Duration::from_millis(2000);
/// Where lists are polled, what each gateway of the fleet adds to the widest window, so that the fleet's
/// rate of calls has a bound whatever its size.
pub(super) const MAX_BACKOFF_PER_GATEWAY: Duration = Duration::from_millis(120);

/// How long a watch waits, when a call times out, and how long to pause after a failed one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RefreshPolicy {
    /// The longest time for which discovery may delay its response to a watch while nothing changes.
    pub(super) watch_wait: Duration,
    /// How long after the wait a response may take.
    pub(super) response_timeout: Duration,
    /// The same for the first call on a connection, and for any while discovery is overloaded.
    pub(super) queued_response_timeout: Duration,
    /// How long a connection may take to come up.
    pub(super) connect_timeout: Duration,
    /// The first window of pauses after failed calls.
    pub(super) initial_backoff: Duration,
    /// The widest window of pauses.
    pub(super) max_backoff: Duration,
    /// Whether each connection begins with the complete list, whatever revision is cached.
    pub(super) complete_list_first: bool,
    /// How long a list may be used after it was last known to be current; `None` where it never expires.
    pub(super) lease_duration: Option<Duration>,
}

impl RefreshPolicy {
    /// The policy for the discovery mode of the settings, in a fleet of `gateways`.
    pub(crate) fn new(settings: &SocketSettings, gateways: usize) -> Self {
        match settings.discovery_mode {
            DiscoveryMode::Pushed => Self::for_pushed_lists(duration_from_ms(settings.drain_grace_ms)),
            DiscoveryMode::Polled => Self::for_polled_lists(gateways),
        }
    }

    fn for_pushed_lists(drain_grace: Duration) -> Self {
        let grace = drain_grace.clamp(MIN_GRACE, MAX_GRACE);
        let timeout = grace.mul_f64(PUSHED_TIMEOUT_FRACTION);
        let max_backoff = grace.mul_f64(PUSHED_PAUSE_FRACTION);
        RefreshPolicy {
            watch_wait: grace.mul_f64(PUSHED_WAIT_FRACTION),
            response_timeout: timeout,
            queued_response_timeout: timeout,
            connect_timeout: timeout,
            initial_backoff: max_backoff / 2,
            max_backoff,
            complete_list_first: true,
            lease_duration: None,
        }
    }

    fn for_polled_lists(gateways: usize) -> Self {
        let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
        RefreshPolicy {
            watch_wait: LEASE_DURATION,
            response_timeout: RESPONSE_TIMEOUT,
            queued_response_timeout: QUEUED_RESPONSE_TIMEOUT,
            connect_timeout: CONNECT_TIMEOUT,
            initial_backoff: INITIAL_BACKOFF,
            max_backoff: MAX_BACKOFF_PER_GATEWAY.saturating_mul(gateways).max(INITIAL_BACKOFF),
            complete_list_first: false,
            lease_duration: Some(LEASE_DURATION),
        }
    }
}
