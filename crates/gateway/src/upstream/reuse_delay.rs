//! Protection against responses that arrive twice.
//!
//! An endpoint, or what is between it and the gateway, may send a response twice, the second copy some
//! milliseconds after the first. If the next request has been written by then, the copy is taken for its
//! response: a client gets the response to another's request. So once any connection has received surplus
//! bytes, all connections pause after each response before they are reused, and a copy that arrives in the
//! pause shows as surplus bytes, which close the connection. A permanent pause would cost a large fleet
//! additional handshakes.
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The reuse delay applies for this long after surplus bytes were received.
pub(super) const DELAY_PERIOD: Duration = Duration::from_secs(60);
/// The pause between a response and the reuse of its connection.
pub(super) const REUSE_DELAY: Duration = Duration::from_millis(15);

/// Tracks whether connections must pause before they are reused.
#[derive(Default)]
pub(super) struct ReuseDelay {
    until: Cell<Option<Instant>>,
}

impl ReuseDelay {
    /// Records that surplus bytes were received.
    pub(super) fn begin(&self, now: Instant) {
        self.until.set(Some(now + DELAY_PERIOD));
    }

    /// Whether a connection that received its response at `responded_at` may carry another request.
    pub(super) fn allows_reuse(&self, responded_at: Instant, now: Instant) -> bool {
        self.until.get().is_none_or(|until| now >= until) || now >= responded_at + REUSE_DELAY
    }
}
