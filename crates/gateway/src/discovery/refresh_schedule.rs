//! Decides when to call discovery next and how long the call may take, based on the results of the calls so
//! far.
use super::backoff::Backoff;
use super::error::DiscoveryError;
use super::list_lease::ListLease;
use super::refresh_policy::RefreshPolicy;
use std::time::Duration;
use tokio::time::Instant;

/// The time allowed for a new connection and the first response on it. Unless discovery is overloaded,
/// [`RefreshSchedule::call_times`] reserves it before the list expires, besides the time for a call to time
/// out and for a pause. While the list is valid, the window of pauses after an inconclusive call is narrowed
/// to leave this time, down to [`MIN_INCONCLUSIVE_WINDOW`].
pub(super) const RESPONSE_ALLOWANCE: Duration = Duration::from_millis(1250);
/// The whole time reserved before the list expires while discovery is overloaded. It is shorter than the sum
/// that is reserved otherwise, so that long polls wait longer and the gateway makes fewer calls, and it
/// covers the time for which discovery queues a call.
const OVERLOADED_ALLOWANCE: Duration = Duration::from_millis(1000);
/// The delay of a response above which discovery counts as overloaded, because the call must have been
/// queued.
const OVERLOADED_DELAY: Duration = Duration::from_millis(250);
/// The minimum to which the window of pauses after an inconclusive call is narrowed. While the list is valid,
/// the window is narrowed so that a response can arrive before the list expires. The pauses must still be
/// spread over this minimum, because the long polls of all gateways may have failed at once.
pub(super) const MIN_INCONCLUSIVE_WINDOW: Duration = Duration::from_millis(250);
/// The widest window of pauses after a rejected call while the list may be used. If a call is rejected just
/// before discovery recovers, this pause and the next response end before the drain grace of a change is
/// over.
pub(super) const MAX_REJECTION_WINDOW: Duration = Duration::from_millis(4250);

/// The position of a call among the calls on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallPosition {
    /// The first call. All gateways of the fleet may make their first calls at once.
    First,
    /// Any call after the first.
    Later,
}

/// The time limits of one call.
#[derive(Debug, Clone, Copy)]
pub(super) struct CallTimes {
    /// The time for which discovery may delay its response while the list does not change.
    pub(super) wait: Duration,
    /// The timeout of the response, counted from the end of the wait.
    pub(super) response_timeout: Duration,
}

/// Schedules the calls to discovery, by the policy, the lease on the list and the results of earlier calls.
pub(super) struct RefreshSchedule {
    /// The times and timeouts of the discovery mode.
    policy: RefreshPolicy,
    /// The lease on the cached list, or `None` if lists never expire.
    lease: Option<ListLease>,
    /// The backoff for pauses after failed calls.
    backoff: Backoff,
    /// Whether discovery counts as overloaded: the last list was late, or a call since then was rejected or
    /// reached discovery without returning a list.
    is_overloaded: bool,
}

impl RefreshSchedule {
    /// Creates the schedule at the start of the process, when the cached list counts as current.
    pub(super) fn new(policy: RefreshPolicy, seed: u64, now: Instant) -> Self {
        RefreshSchedule {
            policy,
            lease: policy.lease_duration.map(|duration| ListLease::new(duration, now)),
            backoff: Backoff::new(policy.initial_backoff_window, policy.max_backoff_window, seed),
            is_overloaded: false,
        }
    }

    /// Returns the policy that the schedule was created with.
    pub(super) fn policy(&self) -> &RefreshPolicy {
        &self.policy
    }

    /// Returns when the list expires, or `None` if lists never expire.
    pub(super) fn list_expires_at(&self) -> Option<Instant> {
        self.lease.as_ref().map(ListLease::expires_at)
    }

    /// Returns the time limits of a call that begins at `now`.
    pub(super) fn call_times(&self, position: CallPosition, now: Instant) -> CallTimes {
        let policy = &self.policy;
        let may_be_queued = position == CallPosition::First || self.is_overloaded;
        let response_timeout =
            if may_be_queued { policy.queued_response_timeout } else { policy.response_timeout };
        // Longer waits mean fewer calls. But if the list expires during the wait, the gateway sends nothing
        // until it has the response. So unless discovery is overloaded, there is time for this call to time
        // out, for a pause, and for a new connection with its first response.
        let allowance = if self.is_overloaded {
            OVERLOADED_ALLOWANCE
        } else {
            response_timeout + MIN_INCONCLUSIVE_WINDOW + RESPONSE_ALLOWANCE
        };
        let wait = match &self.lease {
            Some(lease) => lease.remaining(now).saturating_sub(allowance).min(policy.long_poll_wait),
            None => policy.long_poll_wait,
        };
        CallTimes { wait, response_timeout }
    }

    /// Handles a received list, even one without changes. `delay` is the time that the response took beyond
    /// the wait.
    pub(super) fn on_list(&mut self, delay: Duration, now: Instant) {
        if let Some(lease) = &mut self.lease {
            lease.renew(now);
        }
        self.is_overloaded = delay > OVERLOADED_DELAY;
        self.backoff.narrow();
    }

    /// Handles a change of discovery's address at `now`.
    pub(super) fn on_address_change(&mut self, now: Instant) {
        if let Some(lease) = &mut self.lease {
            lease.shorten_after_address_change(now);
        }
        self.is_overloaded = false;
        self.backoff.reset();
    }

    /// Handles a failed call and returns the pause before the next call.
    pub(super) fn on_error(&mut self, error: &DiscoveryError, now: Instant) -> Duration {
        // Pushed lists have no lease: every error is followed by a pause from the same widening window, and
        // discovery never counts as overloaded because of an error.
        let Some(lease) = &mut self.lease else { return self.draw_pause_and_widen() };
        match error {
            // Calls that do not reach discovery put no load on it. A wider window would only delay the first
            // call after the outage.
            DiscoveryError::Unreachable { attempted_at, .. } => {
                lease.renew_in_outage(*attempted_at, now);
                self.backoff.draw_pause(self.backoff.initial_window())
            }
            DiscoveryError::Rejected => {
                self.is_overloaded = true;
                lease.renew_after_rejection(now);
                let remaining = lease.remaining(now);
                self.pause_after_rejection(remaining)
            }
            // A missing response may mean an outage, and after its end the list must be fetched without
            // delay. The response timeout limits the rate of calls; if the response came but has no list,
            // only the pause does.
            DiscoveryError::NoList(_) => {
                self.is_overloaded = true;
                lease.record_reached_without_list();
                self.backoff.draw_pause(self.backoff.initial_window())
            }
            DiscoveryError::Inconclusive(_) => {
                let remaining = lease.remaining(now);
                self.pause_after_inconclusive_call(remaining)
            }
        }
    }

    /// Draws a pause from the current window, which is then widened for the next failure.
    fn draw_pause_and_widen(&mut self) -> Duration {
        let window = self.backoff.window();
        self.backoff.widen();
        self.backoff.draw_pause(window)
    }

    /// Returns the pause after a rejected call, and widens the window for the next one. `remaining` is the
    /// time for which the list may still be used.
    fn pause_after_rejection(&mut self, remaining: Duration) -> Duration {
        let mut window = self.backoff.window();
        self.backoff.widen();
        if remaining.is_zero() {
            // While the list is expired, nothing is sent to its endpoints, so pauses may be longer: each
            // rejection widens the window twice, and the pause is drawn without the maximum for a valid list.
            self.backoff.widen();
        } else {
            window = window.min(MAX_REJECTION_WINDOW);
        }
        self.backoff.draw_pause(window)
    }

    /// Returns the pause after an inconclusive call. `remaining` is the time for which the list may still be
    /// used.
    fn pause_after_inconclusive_call(&mut self, remaining: Duration) -> Duration {
        let mut window = self.backoff.window();
        if !remaining.is_zero() {
            window = window.min(remaining.saturating_sub(RESPONSE_ALLOWANCE).max(MIN_INCONCLUSIVE_WINDOW));
        }
        self.backoff.draw_pause(window)
    }
}
