//! The lease on a list that the gateway polls from discovery: until when the list may be used, and what
//! renews the lease.
use std::time::Duration;
use tokio::time::Instant;

/// Every gateway must act on a change this long after discovery had it and could be reached.
pub(super) const CHANGE_KNOWN_AFTER: Duration = Duration::from_millis(6000);
/// The same after SIGHUP has given discovery another address, for every change that the new discovery has.
pub(super) const CHANGE_KNOWN_AFTER_ADDRESS_CHANGE: Duration = Duration::from_millis(4000);
/// A list that was not confirmed expires this long before a change to it must be acted on.
pub(super) const LEASE_MARGIN: Duration = Duration::from_millis(500);
/// How long a list may be used after it was last known to be current.
pub(super) const LEASE_DURATION: Duration = CHANGE_KNOWN_AFTER.saturating_sub(LEASE_MARGIN);
/// The longest time for which it may be used after discovery's address has changed.
const LEASE_DURATION_AFTER_ADDRESS_CHANGE: Duration =
    CHANGE_KNOWN_AFTER_ADDRESS_CHANGE.saturating_sub(LEASE_MARGIN);
/// How long a rejected call renews the lease for. The longest pause and a next rejection that is 2 s late fit
/// in. It is longer than a list may be used otherwise, at the cost of some of the drain grace.
///
/// A rejection may come from an overloaded discovery, or from a proxy in front of a discovery that is down. A
/// gateway cannot distinguish the two, so a rejection renews the lease as an outage does.
pub(super) const REJECTION_RENEWAL: Duration = Duration::from_millis(7000);
/// Rejections renew the lease up to this long after the last list: an outage of ten seconds, the wait of the
/// watch before it, and the calls after it fit in.
pub(super) const MAX_REJECTION_RENEWAL: Duration = Duration::from_millis(20_000);

/// Until when the list may be used. Once it has expired, only a new list makes it usable again.
pub(super) struct ListLease {
    duration: Duration,
    expires_at: Instant,
    /// Rejections renew the lease up to this time.
    max_rejection_renewal_at: Instant,
    /// Discovery was reached since the last list, but gave none. It may have had a change then, which must
    /// be acted on in time, so that an outage afterwards renews nothing.
    reached_without_list: bool,
}

impl ListLease {
    /// A lease on a list that is current at `now`.
    pub(super) fn new(duration: Duration, now: Instant) -> Self {
        ListLease {
            duration,
            expires_at: now + duration,
            max_rejection_renewal_at: now + MAX_REJECTION_RENEWAL,
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

    /// Renews the lease in full: a list was received, even if without changes.
    pub(super) fn renew(&mut self, now: Instant) {
        *self = ListLease::new(self.duration, now);
    }

    /// Shortens the lease: discovery has another address since `now`.
    pub(super) fn shorten_after_address_change(&mut self, now: Instant) {
        self.expires_at = self.expires_at.min(now + LEASE_DURATION_AFTER_ADDRESS_CHANGE);
        self.max_rejection_renewal_at = self.expires_at;
    }

    /// Renews the lease after an attempt to connect, begun at `attempted_at`, reached nothing: no gateway
    /// need act on a change while discovery cannot be reached.
    pub(super) fn renew_in_outage(&mut self, attempted_at: Instant, now: Instant) {
        if !self.reached_without_list && self.is_valid(now) {
            self.expires_at = self.expires_at.max(attempted_at + self.duration);
        }
    }

    /// Renews the lease, within its bound, after a call was rejected.
    pub(super) fn renew_after_rejection(&mut self, now: Instant) {
        if self.is_valid(now) {
            let renewed = (now + REJECTION_RENEWAL).min(self.max_rejection_renewal_at);
            self.expires_at = self.expires_at.max(renewed);
        }
    }

    /// Notes that discovery was reached and gave no list.
    pub(super) fn record_reached_without_list(&mut self) {
        self.reached_without_list = true;
    }
}
