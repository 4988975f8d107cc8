//! The lease on a list that is asked for: until when it may be used, and what renews it.
use std::time::Duration;
use tokio::time::Instant;

/// A change counts as known to every gateway so long after discovery had it and could be reached.
pub(super) const CHANGE_KNOWN_AFTER: Duration = Duration::from_millis(6000);
/// The same after SIGHUP moved the gateway to another discovery, for all that the new one has.
pub(super) const CHANGE_KNOWN_AFTER_MOVE: Duration = Duration::from_millis(4000);
/// A list that was not confirmed expires so long before its changes count as known.
pub(super) const LEASE_MARGIN: Duration = Duration::from_millis(500);
/// How long a list may be used after it was last known to be current.
pub(super) const LEASE_DURATION: Duration = CHANGE_KNOWN_AFTER.saturating_sub(LEASE_MARGIN);
/// How long it may be used after discovery's address has changed, at most.
const LEASE_DURATION_AFTER_MOVE: Duration = CHANGE_KNOWN_AFTER_MOVE.saturating_sub(LEASE_MARGIN);
/// What refuses calls may be overloaded, or a proxy in front of a discovery that is down: a gateway cannot
/// tell. So a refusal renews the lease as an outage does. For so long, part of the drain grace included: the
/// longest pause, and the next refusal 2 s late.
pub(super) const REFUSAL_RENEWAL: Duration = Duration::from_millis(7000);
/// Refusals renew the lease up to so long after the last list: an outage of ten seconds, the wait of the
/// watch before it, and the calls after it.
pub(super) const MAX_REFUSAL_RENEWAL: Duration = Duration::from_millis(20_000);

/// Until when the list may be used. Once it has expired, only a new list helps.
pub(super) struct ListLease {
    duration: Duration,
    expires_at: Instant,
    /// Refusals renew the lease up to then.
    max_refusal_renewal_at: Instant,
    /// Discovery was reached since the last list, but gave none. What it had by then counts as known in time,
    /// so that an outage afterwards renews nothing.
    reached_without_list: bool,
}

impl ListLease {
    /// A lease on a list that is current at `now`.
    pub(super) fn new(duration: Duration, now: Instant) -> Self {
        ListLease {
            duration,
            expires_at: now + duration,
            max_refusal_renewal_at: now + MAX_REFUSAL_RENEWAL,
            reached_without_list: false,
        }
    }

    /// When the list expires.
    pub(super) fn expires_at(&self) -> Instant {
        self.expires_at
    }

    /// Whether the list may be used at `now`.
    pub(super) fn is_valid(&self, now: Instant) -> bool {
        now < self.expires_at
    }

    /// How long the list may still be used; zero once it has expired.
    pub(super) fn remaining(&self, now: Instant) -> Duration {
        self.expires_at.saturating_duration_since(now)
    }

    /// Renews the lease: a list has come, even if without changes.
    pub(super) fn renew(&mut self, now: Instant) {
        *self = ListLease::new(self.duration, now);
    }

    /// Shortens the lease: discovery has another address from `now` on.
    pub(super) fn shorten_after_move(&mut self, now: Instant) {
        self.expires_at = self.expires_at.min(now + LEASE_DURATION_AFTER_MOVE);
        self.max_refusal_renewal_at = self.expires_at;
    }

    /// Renews the lease where nothing was reached by an attempt that began at `attempted_at`: changes do not
    /// count as known while discovery cannot be reached.
    pub(super) fn renew_in_outage(&mut self, attempted_at: Instant, now: Instant) {
        if !self.reached_without_list && self.is_valid(now) {
            self.expires_at = self.expires_at.max(attempted_at + self.duration);
        }
    }

    /// Renews the lease, within its bound, where a call was refused.
    pub(super) fn renew_after_refusal(&mut self, now: Instant) {
        if self.is_valid(now) {
            let renewed = (now + REFUSAL_RENEWAL).min(self.max_refusal_renewal_at);
            self.expires_at = self.expires_at.max(renewed);
        }
    }

    /// Notes that discovery was reached and gave no list.
    pub(super) fn record_reached_without_list(&mut self) {
        self.reached_without_list = true;
    }
}
