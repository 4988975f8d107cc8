//! Protects clients from an endpoint's response that arrives twice.
//!
//! An endpoint, or an intermediary in front of it, may send a response twice, the second copy some
//! milliseconds after the first. If the next request has been written by then, the copy is taken for its
//! response, and a client gets the response to another client's request.
//!
//! So once any connection has received surplus bytes, all connections pause after each response before they
//! are reused. A copy that arrives during the pause is detected as surplus bytes, and the connection is
//! closed. A permanent pause would cost a large fleet additional handshakes.
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// How long the reuse delay applies after surplus bytes were received.
pub(super) const REUSE_DELAY_ACTIVE_FOR: Duration = Duration::from_secs(60);
/// The pause between a response and the reuse of its connection.
pub(super) const REUSE_DELAY: Duration = Duration::from_millis(15);

/// Tracks whether connections must pause before they are reused.
#[derive(Default)]
pub(super) struct ReuseDelay {
    /// When the delay stops applying; `None` if no surplus bytes were ever received.
    until: Cell<Option<Instant>>,
}

impl ReuseDelay {
    /// Records that surplus bytes were received at `now`.
    pub(super) fn begin(&self, now: Instant) {
        self.until.set(Some(now + REUSE_DELAY_ACTIVE_FOR));
    }

    /// Returns whether a connection that received its last response at `responded_at` may carry another
    /// request at `now`.
    pub(super) fn allows_reuse(&self, responded_at: Instant, now: Instant) -> bool {
        self.until.get().is_none_or(|until| now >= until) || now >= responded_at + REUSE_DELAY
    }
}
