//! Accepts clients' connections, up to a limit.
use super::connection::ConnectionRole;
use super::connection_limit::AcceptDecision;
use super::connection_table::Eviction;
use super::server::DownstreamServer;
use crate::logging::target;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::sleep;

/// The pause after a failed accept. Without it, the next accept would fail at once for as long as no file
/// descriptor is free.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

impl DownstreamServer {
    /// Accepts connections from `listener`. Never returns.
    pub(crate) async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.handle_accepted(stream).await,
                Err(error) => {
                    tracing::warn!(
                        target: target::DOWNSTREAM,
                        %error,
                        "cannot accept a client connection; evicting one without a request, if any"
                    );
                    self.evict_one();
                    sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
            // Lets the accepted connection's task run before the next accept. Otherwise, in a burst of new
            // connections, one whose request has arrived but has not been read yet would count as silent
            // and be evicted.
            yield_now().await;
        }
    }

    /// Serves, rejects or closes a connection that was accepted. At the limit, a connection without a request
    /// in progress is evicted to make room for the new one. If every connection has a request in progress, a
    /// few more connections are accepted to reject their requests, and any beyond those are closed. If those
    /// were not accepted at all, they would stay in the kernel's accept queue, and their clients would wait
    /// for a response that never comes.
    async fn handle_accepted(self: &Rc<Self>, stream: TcpStream) {
        let limit = self.connection_limit();
        let open = self.connections().len();
        let eviction = limit.needs_eviction(open).then(|| self.evict_one());
        match limit.decide(open, eviction) {
            AcceptDecision::Serve => self.serve(stream, ConnectionRole::Serving),
            AcceptDecision::ServeAfterClose => {
                // The evicted connection closes when its task runs, unless it is still reading a body.
                yield_now().await;
                if limit.is_below_total_limit(self.connections().len()) {
                    self.serve(stream, ConnectionRole::Serving);
                } else {
                    self.metrics().connections_closed_at_limit.increment();
                }
            }
            AcceptDecision::Reject => self.serve(stream, ConnectionRole::Rejecting),
            AcceptDecision::Close => self.metrics().connections_closed_at_limit.increment(),
        }
    }

    /// Evicts a connection, if any can be evicted.
    fn evict_one(&self) -> Eviction {
        let eviction = self.connections().evict_one();
        if eviction == Eviction::Evicted {
            self.metrics().connections_evicted.increment();
        }
        eviction
    }
}
