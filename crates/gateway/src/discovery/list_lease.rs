//! The lease on an endpoint list that the gateway polls from discovery: it says until when the list may be
//! used, and is renewed by lists, by rejections and in outages.
use std::time::Duration;
use tokio::time::Instant;

/// The time within which a change must be known to every gateway, counted from when discovery has the change
/// and can be reached.
pub(super) const MAX_PROPAGATION_DELAY: Duration = Duration::from_millis(6000);
/// The time within which every change that the new discovery has must be known, counted from when SIGHUP has
/// changed discovery's address.
pub(super) const MAX_DELAY_AFTER_ADDRESS_CHANGE: Duration = Duration::from_millis(4000);
/// How long before the end of [`MAX_PROPAGATION_DELAY`] or of [`MAX_DELAY_AFTER_ADDRESS_CHANGE`] a lease
/// expires if it is not renewed.
pub(super) const LEASE_MARGIN: Duration = Duration::from_millis(500);
/// The time for which a list may be used after it was last known to be current.
pub(super) const LEASE_DURATION: Duration = MAX_PROPAGATION_DELAY.saturating_sub(LEASE_MARGIN);
/// The time to which a change of discovery's address shortens the lease. Rejections cannot renew it beyond
/// that; failed attempts to connect can.
const LEASE_DURATION_AFTER_ADDRESS_CHANGE: Duration =
    MAX_DELAY_AFTER_ADDRESS_CHANGE.saturating_sub(LEASE_MARGIN);
/// The time for which a rejected call renews the lease: enough for the longest pause and for a next rejection
/// that takes 2 s. The excess over [`LEASE_DURATION`] is taken from the drain grace (`stopSendingWithinMs`),
/// the time that is allowed for a gateway to stop sending to an endpoint once the change is known.
///
/// A rejection may come from an overloaded discovery, or from a proxy in front of a discovery that is down.
/// Because a gateway cannot distinguish the two, a rejection renews the lease as an outage does.
pub(super) const REJECTION_RENEWAL: Duration = Duration::from_millis(7000);
/// The maximum time from the last list to the end of a lease that rejections renew: enough for an outage of
/// ten seconds, the wait of the long poll before it, and the calls after it.
pub(super) const MAX_LEASE_WITH_REJECTIONS: Duration = Duration::from_millis(20_000);

/// A lease on the cached list, which may be used until the lease expires. After that, only a newly received
/// list renews the lease.
pub(super) struct ListLease {
    /// The time for which a list renews the lease.
    duration: Duration,
    /// When the lease expires.
    expires_at: Instant,
    /// The latest time until which rejections renew the lease.
    latest_expiry_with_rejections: Instant,
    /// Whether a call since the last list reached discovery but returned no list. Discovery may have had a
    /// change at that time, which must be known within [`MAX_PROPAGATION_DELAY`], so a later outage does not
    /// renew the lease.
    reached_without_list: bool,
}

impl ListLease {
    /// Creates a lease on a list that is current at `now`.
    pub(super) fn new(duration: Duration, now: Instant) -> Self {
        ListLease {
            duration,
            expires_at: now + duration,
            latest_expiry_with_rejections: now + MAX_LEASE_WITH_REJECTIONS,
            reached_without_list: false,
        }
    }

    /// Returns when the lease expires.
    pub(super) fn expires_at(&self) -> Instant {
        self.expires_at
    }

    /// Returns whether the list may be used at `now`.
    pub(super) fn is_valid(&self, now: Instant) -> bool {
        now < self.expires_at
    }

    /// Returns the time for which the list may still be used at `now`, or zero if the lease has expired.
    pub(super) fn remaining(&self, now: Instant) -> Duration {
        self.expires_at.saturating_duration_since(now)
    }

    /// Renews the lease in full after a list was received, even one without changes.
    pub(super) fn renew(&mut self, now: Instant) {
        *self = ListLease::new(self.duration, now);
    }

    /// Shortens the lease after discovery's address has changed at `now`. Until the next list, rejections no
    /// longer renew it.
    pub(super) fn shorten_after_address_change(&mut self, now: Instant) {
        self.expires_at = self.expires_at.min(now + LEASE_DURATION_AFTER_ADDRESS_CHANGE);
        self.latest_expiry_with_rejections = self.expires_at;
    }

    /// Renews the lease after an attempt to connect, which began at `attempted_at`, has failed. The time
    /// within which a change must be known does not run while discovery cannot be reached. Does nothing if
    /// the lease has expired, or if a call since the last list reached discovery without getting one, as
    /// [`record_reached_without_list`](Self::record_reached_without_list) records.
    pub(super) fn renew_in_outage(&mut self, attempted_at: Instant, now: Instant) {
        if !self.reached_without_list && self.is_valid(now) {
            self.expires_at = self.expires_at.max(attempted_at + self.duration);
        }
    }

    /// Renews the lease after a rejected call, up to the bound for rejections.
    pub(super) fn renew_after_rejection(&mut self, now: Instant) {
        if self.is_valid(now) {
            let renewed = (now + REJECTION_RENEWAL).min(self.latest_expiry_with_rejections);
            self.expires_at = self.expires_at.max(renewed);
        }
    }

    /// Records that a call reached discovery but returned no list.
    pub(super) fn record_reached_without_list(&mut self) {
        self.reached_without_list = true;
    }
}
