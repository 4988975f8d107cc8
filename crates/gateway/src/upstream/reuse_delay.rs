//! Protection against a response that arrives twice.
//!
//! A second copy may arrive some milliseconds after the first and would then be taken for the response to a request that
//! had been written by then. Once a connection has brought more than its response, every connection waits a moment
//! after a response before it carries the next request. Waiting always would cost a large fleet handshakes.
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// For so long after surplus bytes were seen, connections wait before they are reused.
pub(super) const DELAY_PERIOD: Duration = Duration::from_secs(60);
/// So long a connection waits after a response.
pub(super) const REUSE_DELAY: Duration = Duration::from_millis(15);

/// Whether, and until when, connections wait before they are reused.
#[derive(Default)]
pub(super) struct ReuseDelay {
    until: Cell<Option<Instant>>,
}

impl ReuseDelay {
    /// Surplus bytes were seen now.
    pub(super) fn begin(&self, now: Instant) {
        self.until.set(Some(now + DELAY_PERIOD));
    }

    /// Whether a connection that had its response at `responded_at` may carry another request.
    pub(super) fn allows_reuse(&self, responded_at: Instant, now: Instant) -> bool {
        self.until.get().is_none_or(|until| now >= until) || now >= responded_at + REUSE_DELAY
    }
}
