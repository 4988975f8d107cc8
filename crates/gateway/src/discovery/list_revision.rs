//! The revision of the cached list: what to request next, and which responses may be applied.
use super::error::{CallError, DiscoveryError};
use std::time::Duration;

/// The path of the endpoint list.
const LIST_PATH: &str = "/v1/servers";

/// The revision since which changes are requested; `None` requests the complete list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ListRevision(pub(super) Option<u64>);

/// A call for the list.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct ListCall {
    /// Path and query.
    pub(super) path: String,
    /// How long discovery may delay its response while nothing changes.
    pub(super) wait: Duration,
}

impl ListRevision {
    /// The next call. A watch, which waits for changes up to `wait`, is only possible from a revision; the
    /// complete list is returned at once.
    pub(super) fn next_call(&self, wait: Duration) -> ListCall {
        match self.0 {
            Some(revision) => {
                let path = format!("{LIST_PATH}?after={revision}&wait_ms={}", wait.as_millis());
                ListCall { path, wait }
            }
            None => ListCall { path: LIST_PATH.to_string(), wait: Duration::ZERO },
        }
    }

    /// Advances to the revision of a response.
    ///
    /// # Errors
    ///
    /// Fails if it is older than the requested one: the response was overtaken, or discovery has restarted
    /// its count. Applied, it could undo a drain, and its changes may be to another list than the cached
    /// one. The error makes the watch fetch the complete list.
    pub(super) fn advance(&mut self, received: u64) -> Result<(), DiscoveryError> {
        if self.0.is_some_and(|cached| received < cached) {
            return Err(DiscoveryError::WatchInterrupted(CallError::RevisionWentBack));
        }
        self.0 = Some(received);
        Ok(())
    }

    /// Has the complete list requested next.
    pub(super) fn reset(&mut self) {
        self.0 = None;
    }

    /// Has the complete list requested after a failure. Only after a rejection the revision stays:
    /// discovery may be overloaded, and changes cost it less to write than the complete list.
    pub(super) fn reset_after(&mut self, error: &DiscoveryError) {
        match error {
            DiscoveryError::Rejected => {}
            DiscoveryError::Unreachable { .. }
            | DiscoveryError::NoList(_)
            | DiscoveryError::WatchInterrupted(_) => self.reset(),
        }
    }
}
