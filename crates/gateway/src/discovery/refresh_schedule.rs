//! When to call discovery next, and how long to wait for it, after what the calls so far have brought.
use super::backoff::Backoff;
use super::error::DiscoveryError;
use super::list_lease::ListLease;
use super::refresh_policy::RefreshPolicy;
use std::time::Duration;
use tokio::time::Instant;

/// Time reserved for a connection and a response before the list expires, where discovery is not overloaded.
pub(super) const RESPONSE_ALLOWANCE: Duration = Duration::from_millis(1250);
/// The same while discovery is overloaded. It is less, so that watches wait for longer and make fewer
/// calls, and covers what their responses wait in discovery's queue.
const OVERLOADED_RESPONSE_ALLOWANCE: Duration = Duration::from_millis(1000);
/// A response that is later than this was queued: discovery is overloaded.
const OVERLOADED_DELAY: Duration = Duration::from_millis(250);
/// The narrowest window of pauses after an interrupted watch. The window ends early enough for a response
/// before the list expires, but the watches of all gateways may have been interrupted at once.
pub(super) const MIN_RETRY_WINDOW: Duration = Duration::from_millis(250);
/// The widest window after a rejected call while the list may be used. A call that was rejected just before
/// discovery returned, this pause and a response then end before a change must be acted on and the drain
/// grace is over.
pub(super) const MAX_REJECTION_BACKOFF: Duration = Duration::from_millis(4250);

/// Which call on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallPosition {
    /// The first. All gateways of the fleet may make theirs at once.
    First,
    /// Any later one.
    Later,
}

/// The times of one call.
#[derive(Debug, Clone, Copy)]
pub(super) struct CallTimes {
    /// How long discovery may delay its response while nothing changes.
    pub(super) wait: Duration,
    /// How long the response may take after that.
    pub(super) response_timeout: Duration,
}

/// What the calls so far have shown of discovery, and the lease on the list.
pub(super) struct RefreshSchedule {
    policy: RefreshPolicy,
    /// `None` where the list never expires.
    lease: Option<ListLease>,
    backoff: Backoff,
    /// The last call was rejected, timed out without a response, or got it late.
    is_overloaded: bool,
}

impl RefreshSchedule {
    /// The schedule at the start of a process: the cached list counts as current.
    pub(super) fn new(policy: RefreshPolicy, seed: u64, now: Instant) -> Self {
        RefreshSchedule {
            policy,
            lease: policy.lease_duration.map(|duration| ListLease::new(duration, now)),
            backoff: Backoff::new(policy.initial_backoff, policy.max_backoff, seed),
            is_overloaded: false,
        }
    }

    /// The policy that it goes by.
    pub(super) fn policy(&self) -> &RefreshPolicy {
        &self.policy
    }

    /// When the list expires; `None` where it never does.
    pub(super) fn list_expires_at(&self) -> Option<Instant> {
        self.lease.as_ref().map(ListLease::expires_at)
    }

    /// The times of a call that begins at `now`.
    pub(super) fn call_times(&self, position: CallPosition, now: Instant) -> CallTimes {
        let policy = &self.policy;
        let may_be_queued = position == CallPosition::First || self.is_overloaded;
        let response_timeout =
            if may_be_queued { policy.queued_response_timeout } else { policy.response_timeout };
        // Longer waits are fewer calls. A gateway whose list expires meanwhile sends nothing until the
        // response.
        let allowance = if self.is_overloaded {
            OVERLOADED_RESPONSE_ALLOWANCE
        } else {
            response_timeout + MIN_RETRY_WINDOW + RESPONSE_ALLOWANCE
        };
        let wait = match &self.lease {
            Some(lease) => lease.remaining(now).saturating_sub(allowance).min(policy.watch_wait),
            None => policy.watch_wait,
        };
        CallTimes { wait, response_timeout }
    }

    /// A list was received, even if without changes, `delay` after it was due.
    pub(super) fn on_list(&mut self, delay: Duration, now: Instant) {
        if let Some(lease) = &mut self.lease {
            lease.renew(now);
        }
        self.is_overloaded = delay > OVERLOADED_DELAY;
        self.backoff.narrow();
    }

    /// Discovery has another address since `now`.
    pub(super) fn on_address_change(&mut self, now: Instant) {
        if let Some(lease) = &mut self.lease {
            lease.shorten_after_address_change(now);
        }
        self.is_overloaded = false;
        self.backoff.reset();
    }

    /// A call has failed. Returns the pause before the next one.
    pub(super) fn on_error(&mut self, error: &DiscoveryError, now: Instant) -> Duration {
        let Some(lease) = &mut self.lease else { return self.pause_and_widen() };
        match error {
            // Calls that do not reach discovery cost it nothing. A wider window would only delay the first
            // call after its return.
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
            // No response may mean an outage, after whose end the list is due at once. The response timeout
            // bounds the rate of calls.
            DiscoveryError::NoList(_) => {
                self.is_overloaded = true;
                lease.record_reached_without_list();
                self.backoff.draw_pause(self.backoff.initial_window())
            }
            DiscoveryError::WatchInterrupted(_) => {
                let remaining = lease.remaining(now);
                self.pause_after_interruption(remaining)
            }
        }
    }

    fn pause_and_widen(&mut self) -> Duration {
        let window = self.backoff.window();
        self.backoff.widen();
        self.backoff.draw_pause(window)
    }

    /// `remaining` is how long the list may still be used.
    fn pause_after_rejection(&mut self, remaining: Duration) -> Duration {
        let mut window = self.backoff.window();
        self.backoff.widen();
        if remaining.is_zero() {
            // Nothing is sent by an expired list, so there is no deadline to meet.
            self.backoff.widen();
        } else {
            window = window.min(MAX_REJECTION_BACKOFF);
        }
        self.backoff.draw_pause(window)
    }

    /// `remaining` is how long the list may still be used.
    fn pause_after_interruption(&mut self, remaining: Duration) -> Duration {
        let mut window = self.backoff.window();
        if !remaining.is_zero() {
            window = window.min(remaining.saturating_sub(RESPONSE_ALLOWANCE).max(MIN_RETRY_WINDOW));
        }
        self.backoff.draw_pause(window)
    }
}
