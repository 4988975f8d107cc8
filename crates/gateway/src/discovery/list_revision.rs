//! The revision of the cached list, which determines what to request next and which responses may be applied.
use super::error::{CallError, DiscoveryError};
use std::time::Duration;

/// The path at which discovery serves the endpoint list.
const LIST_PATH: &str = "/v1/servers";

/// The revision of the cached list, from which the next call requests the changes. With `None`, it requests
/// the complete list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ListRevision(pub(super) Option<u64>);

/// The parameters of a call to discovery for the list.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct ListCall {
    /// The path and query of the request.
    pub(super) path: String,
    /// How long discovery may delay its response while the list does not change.
    pub(super) wait: Duration,
}

impl ListRevision {
    /// Returns the next call. If there is a revision, the call is a long poll, which waits up to `wait` for
    /// changes. Otherwise it requests the complete list, which discovery returns immediately.
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
    /// Fails if the received revision is older than the cached one, because the response was overtaken
    /// by a newer one or discovery has restarted its revision numbers. If such a response were applied, it
    /// could make a draining endpoint ready again, and its changes may not be relative to the cached list.
    /// The revision is then unchanged; the caller must call [`reset_after`](Self::reset_after), so that the
    /// next call requests the complete list.
    pub(super) fn advance(&mut self, received: u64) -> Result<(), DiscoveryError> {
        if let Some(cached) = self.0.filter(|cached| received < *cached) {
            return Err(DiscoveryError::Inconclusive(CallError::StaleRevision { received, cached }));
        }
        self.0 = Some(received);
        Ok(())
    }

    /// Drops the revision, so that the next call requests the complete list.
    pub(super) fn reset(&mut self) {
        self.0 = None;
    }

    /// Drops the revision after a failed call, so that the next call requests the complete list. The revision
    /// is kept only after a rejection: discovery may be overloaded, and it takes less work to write the
    /// changes than the complete list.
    pub(super) fn reset_after(&mut self, error: &DiscoveryError) {
        match error {
            DiscoveryError::Rejected => {}
            DiscoveryError::Unreachable { .. }
            | DiscoveryError::NoList(_)
            | DiscoveryError::Inconclusive(_) => self.reset(),
        }
    }
}
