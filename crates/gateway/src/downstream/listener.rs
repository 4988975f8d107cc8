//! Accepts clients' connections, within a limit.
use super::connection::ConnectionRole;
use super::connection_limit::AcceptDecision;
use super::server::DownstreamServer;
use crate::logging::target;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::sleep;

/// The pause after a failed accept, which would fail again at once while there is no free descriptor.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

impl DownstreamServer {
    /// Accepts connections and never returns.
    pub(crate) async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.admit(stream).await,
                Err(error) => {
                    tracing::warn!(
                        target: target::DOWNSTREAM,
                        %error,
                        "cannot accept a connection; an idle one is closed to free a descriptor"
                    );
                    self.connections().evict_one();
                    sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
            // The accepted connection's task runs before the next accept. Otherwise, in a burst of
            // connections, one whose request has arrived but is not read yet would look silent and be
            // evicted.
            yield_now().await;
        }
    }

    /// Serves a new connection. At the limit, a connection that carries no request is evicted for it. Where
    /// all carry one, the requests on a few further connections are rejected, and the rest are closed:
    /// unaccepted, they would wait in the kernel's queue, and their clients for a response that never
    /// comes.
    async fn admit(self: &Rc<Self>, stream: TcpStream) {
        let limit = self.connection_limit();
        let open = self.connections().len();
        let eviction = limit.needs_eviction(open).then(|| self.connections().evict_one());
        match limit.decide(open, eviction) {
            AcceptDecision::Serve => self.serve(stream, ConnectionRole::Serving),
            AcceptDecision::ServeAfterClose => {
                // The evicted connection closes when its task runs, unless it still has a body to read.
                yield_now().await;
                if limit.has_capacity(self.connections().len()) {
                    self.serve(stream, ConnectionRole::Serving);
                }
            }
            AcceptDecision::Reject => self.serve(stream, ConnectionRole::Rejecting),
            AcceptDecision::Close => {}
        }
    }
}
