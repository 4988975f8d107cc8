//! Protects clients from an endpoint's response that arrives twice.
//!
//! An endpoint, or an intermediary in front of it, may send a response twice, the second copy some
//! milliseconds after the first. If the next request has been written by then, the copy is taken for its
//! response, and a client gets the response to another client's request.
//!
//! So for a period after any connection has received surplus bytes, the reuse delay is in force: no
//! connection is reused until [`REUSE_DELAY`] has passed since its last response. A copy that arrives during
//! the delay is detected as surplus bytes, and the connection is closed. A delay that is always in force
//! would cost a large fleet additional handshakes.
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// How long the reuse delay is in force after surplus bytes were received.
pub(super) const REUSE_DELAY_ACTIVE_FOR: Duration = Duration::from_secs(60);
/// The minimum time between a response and the reuse of its connection while the delay is in force.
pub(super) const REUSE_DELAY: Duration = Duration::from_millis(15);

/// Tracks whether the reuse delay is in force.
#[derive(Default)]
pub(super) struct ReuseDelay {
    /// The time until which the delay is in force; `None` if no surplus bytes were ever received.
    in_force_until: Cell<Option<Instant>>,
}

impl ReuseDelay {
    /// Records that surplus bytes were received at `now`, from when on the delay is in force.
    pub(super) fn begin(&self, now: Instant) {
        self.in_force_until.set(Some(now + REUSE_DELAY_ACTIVE_FOR));
    }

    /// Returns whether a connection that received its last response at `responded_at` may carry another
    /// request at `now`.
    pub(super) fn allows_reuse(&self, responded_at: Instant, now: Instant) -> bool {
        self.in_force_until.get().is_none_or(|until| now >= until) || now >= responded_at + REUSE_DELAY
    }
}
