//! The log line on connections that received surplus bytes: bytes that belong to no response.
use crate::logging::target;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The minimum time between two lines about one server. A server that repeats every response would otherwise
/// fill the log.
const LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Logs that connections to one server were closed because of surplus bytes, at most once in
/// [`LOG_INTERVAL`].
#[derive(Default)]
pub(super) struct SurplusLog {
    /// When the last line was written; `None` if none was.
    logged_at: Option<Instant>,
    /// The number of connections closed since then.
    unreported: u32,
}

impl SurplusLog {
    /// Records that a connection to `server` received surplus bytes, found after it had been idle for
    /// `idle_for`, and writes a line if one is due at `now`.
    pub(super) fn record(&mut self, server: SocketAddr, idle_for: Duration, now: Instant) {
        let Some(count) = self.count_and_take_due(now) else { return };
        tracing::warn!(
            target: target::UPSTREAM,
            %server,
            idle_ms = idle_for.as_millis() as u64,
            count,
            "connection closed: bytes arrived that belong to no response"
        );
    }

    /// Returns whether a line was ever written.
    #[cfg(test)]
    pub(super) fn has_logged(&self) -> bool {
        self.logged_at.is_some()
    }

    /// Counts a connection. Returns the number of connections since the last line, or `None` if that line was
    /// written less than [`LOG_INTERVAL`] before `now`.
    pub(super) fn count_and_take_due(&mut self, now: Instant) -> Option<u32> {
        self.unreported += 1;
        if self.logged_at.is_some_and(|logged_at| now < logged_at + LOG_INTERVAL) {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.unreported))
    }
}
