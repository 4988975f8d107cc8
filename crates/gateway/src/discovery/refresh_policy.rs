//! The times of a watch, by how lists come: pushed by an agent on the gateway's own machine, or asked for
//! from one service for the whole fleet.
use super::list_lease::LEASE_DURATION;
use crate::clock::duration_from_ms;
use irishinge_settings::{DiscoveryMode, SocketSettings};
use std::time::Duration;

/// Where lists are pushed, the agent answers at once and at no cost, and a change counts as known as soon as
/// the agent has it. So after any failure the list must be here again well inside the drain grace. These
/// fractions of the grace are the wait of a watch, the response timeout beyond it, and the longest pause
/// after a failed call.
const PUSHED_WAIT_FRACTION: f64 = 0.4;
const PUSHED_TIMEOUT_FRACTION: f64 = 0.2;
const PUSHED_PAUSE_FRACTION: f64 = 0.05;
/// The grace that the fractions are taken of is bounded: a long grace must not slow the watch down, and a
/// short one must leave time for an answer.
const MAX_GRACE: Duration = Duration::from_millis(2500);
const MIN_GRACE: Duration = Duration::from_millis(250);

/// Where lists are asked for, how long after its wait a watch may stay unanswered. A watch may have been
/// silent from its first moment, so its wait leaves room for this, for a pause, and for the response to the
/// next call.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Discovery queues calls, for 2 s as far as observed, before it refuses them, and still works through those
/// that were given up. So a first call, or any call while discovery is overloaded, is not given up before
/// that.
pub(super) const QUEUED_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2200);
/// Time for one lost packet of the handshake to be sent again.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(1150);
/// The first window of pauses after failed calls, whatever the size of the fleet.
pub(super) const INITIAL_BACKOFF: Duration = Duration::from_millis(2000);
/// The widest window for each gateway of the fleet: all together then call 17 times a second.
pub(super) const MAX_BACKOFF_PER_GATEWAY: Duration = Duration::from_millis(120);

/// How long to wait, when to give a call up and how long to pause.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RefreshPolicy {
    /// How long discovery may hold a watch back while nothing changes, at most.
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
    /// Whether each connection begins with the whole list, whatever version is known.
    pub(super) whole_list_first: bool,
    /// How long a list may be used after it was last known to be current; none where it never expires.
    pub(super) lease_duration: Option<Duration>,
}

impl RefreshPolicy {
    /// The policy that the settings ask for, in a fleet of `gateways`.
    pub(crate) fn new(settings: &SocketSettings, gateways: usize) -> Self {
        match settings.discovery_mode {
            DiscoveryMode::Pushed => Self::for_pushed_lists(duration_from_ms(settings.drain_grace_ms)),
            DiscoveryMode::OnRequest => Self::for_requested_lists(gateways),
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
            whole_list_first: true,
            lease_duration: None,
        }
    }

    fn for_requested_lists(gateways: usize) -> Self {
        let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
        RefreshPolicy {
            watch_wait: LEASE_DURATION,
            response_timeout: RESPONSE_TIMEOUT,
            queued_response_timeout: QUEUED_RESPONSE_TIMEOUT,
            connect_timeout: CONNECT_TIMEOUT,
            initial_backoff: INITIAL_BACKOFF,
            max_backoff: MAX_BACKOFF_PER_GATEWAY.saturating_mul(gateways).max(INITIAL_BACKOFF),
            whole_list_first: false,
            lease_duration: Some(LEASE_DURATION),
        }
    }
}
