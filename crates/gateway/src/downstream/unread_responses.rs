//! Closes connections whose clients do not read their responses while other responses find no memory.
use super::server::DownstreamServer;
use crate::logging::target;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How long a client may leave a part of its responses unread before its connection may be closed for want of
/// memory, or cannot be kept when it is evicted. What the kernel keeps for the client counts as read.
pub(super) const MIN_UNREAD_TIME: Duration = Duration::from_millis(500);
/// The pause after a connection was closed, in which its memory is returned and taken by a response that
/// waits.
const CLOSE_INTERVAL: Duration = Duration::from_millis(10);

impl DownstreamServer {
    /// Closes the connection that has been unread for longest whenever a response waits for memory.
    /// Never returns.
    ///
    /// Without this, some clients that read nothing would hold the memory that all responses share, and the
    /// requests of other clients would fail although they have run.
    pub(crate) async fn close_unread_connections(self: Rc<Self>) {
        let budget = self.response_budget();
        loop {
            budget.has_waiting_caller().await;
            if let Some(unread_time) = self.connections().close_longest_unread(MIN_UNREAD_TIME) {
                self.metrics().connections_closed_unread.increment();
                tracing::warn!(
                    target: target::DOWNSTREAM,
                    unread_ms = unread_time.as_millis() as u64,
                    response_bytes = budget.used(),
                    "client connection closed: its client does not read, and another response finds no memory"
                );
            }
            sleep(CLOSE_INTERVAL).await;
        }
    }
}
