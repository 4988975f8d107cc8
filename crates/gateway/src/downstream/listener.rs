//! Accepts clients' connections, within a bound.
use super::connection::ConnectionRole;
use super::connection_table::Eviction;
use super::server::DownstreamServer;
use crate::logging::target;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::sleep;

/// Connections that are accepted beyond the bound to refuse their requests, so that their clients are not
/// left without a response.
pub(crate) const MAX_REFUSING_CONNECTIONS: usize = 8;
/// The pause after a failed accept: without a free descriptor, it would fail again at once.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

impl DownstreamServer {
    /// Accepts connections, for good.
    pub(crate) async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.admit(stream).await,
                Err(error) => {
                    tracing::warn!(
                        target: target::DOWNSTREAM,
                        %error,
                        "cannot accept a connection; an idle one is closed to make room"
                    );
                    self.connections().evict_one();
                    sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
            // The accepted connection gets its turn to be read before the next one looks for silent ones.
            yield_now().await;
        }
    }

    /// Serves a new connection if there is room. Beyond the bound, a connection that carries no request makes
    /// room. Where all carry one, requests over a few further connections are refused, and the rest are
    /// closed: left unaccepted, their clients would wait in vain.
    async fn admit(self: &Rc<Self>, stream: TcpStream) {
        let open = self.connections().len();
        let is_full = open >= self.max_connections() && self.connections().evict_one() == Eviction::NoneFree;
        let max_open = self.max_connections() + MAX_REFUSING_CONNECTIONS;
        if open >= max_open && !is_full {
            // The evicted connection closes in its turn, unless it still has a body to read.
            yield_now().await;
        }
        if self.connections().len() < max_open {
            self.serve(stream, if is_full { ConnectionRole::Refusing } else { ConnectionRole::Serving });
        }
    }
}
