//! Protects a request from bytes that an earlier response still owes its connection.
//!
//! A server, or an intermediary in front of it, may send a response twice, the second copy some milliseconds
//! after the first. Responses in HTTP/1.1 do not say which request they answer: they are matched to requests
//! by their order alone (RFC 9112, section 9.3.2). If the next request has been written by the time the copy
//! arrives, the copy is read as its response, a client gets the response to another client's request, and the
//! connection stays one response behind.
//!
//! So no connection carries another request until [`REUSE_DELAY`] has passed since its last response. A copy
//! that arrives in that time belongs to no request in progress, is detected as surplus bytes, and the
//! connection is closed.
//!
//! The server's kernel may hold the copy back until the response is acknowledged (Nagle's algorithm), and the
//! gateway's kernel may wait for a request that can carry the acknowledgement (RFC 9293, section 3.8.6.3). So
//! the connection acknowledges each response at once when the delay begins.
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// The minimum time between a response and the next request on its connection. It is longer than the few
/// milliseconds by which a copy of a response may be late.
pub(crate) const REUSE_DELAY: Duration = Duration::from_millis(15);

/// Tracks how long a connection may not carry another request.
#[derive(Debug, Default)]
pub(super) struct ReuseDelay {
    /// When the delay after the last response ends; `None` before the first response.
    ends_at: Option<Instant>,
}

impl ReuseDelay {
    /// Starts the delay after a response that was complete at `responded_at`.
    pub(super) fn begin(&mut self, responded_at: Instant) {
        self.ends_at = Some(responded_at + REUSE_DELAY);
    }

    /// Returns whether the connection may carry a request at `now`.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        self.ends_at.is_none_or(|ends_at| now >= ends_at)
    }

    /// Waits until the connection may carry a request.
    pub(super) async fn wait(&self) {
        if let Some(ends_at) = self.ends_at {
            sleep_until(ends_at).await;
        }
    }
}
