//! The server for clients: serves each connection, and drains them all at the end.
use super::connection::{Connection, ConnectionRole, ConnectionStage};
use super::connection_limit::{ConnectionLimit, MAX_REJECTING_CONNECTIONS};
use super::connection_table::ConnectionTable;
use super::handler::RequestHandler;
use super::settings::DownstreamSettings;
use crate::dispatcher::Dispatcher;
use crate::logging::target;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

/// The maximum size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// How long a request's head may take to arrive, and how long a connection may be idle. It is closed then.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The server: all clients' connections, and the handler of their requests.
pub(crate) struct DownstreamServer {
    handler: RequestHandler,
    connections: ConnectionTable,
    connection_limit: ConnectionLimit,
}

impl DownstreamServer {
    /// Creates a server without connections.
    pub(crate) fn new(dispatcher: Rc<Dispatcher>, settings: DownstreamSettings) -> Rc<Self> {
        let connection_limit = ConnectionLimit {
            max_serving: settings.max_connections,
            max_rejecting: MAX_REJECTING_CONNECTIONS,
        };
        Rc::new(DownstreamServer {
            handler: RequestHandler::new(dispatcher, settings),
            connections: ConnectionTable::default(),
            connection_limit,
        })
    }

    /// The open connections.
    pub(super) fn connections(&self) -> &ConnectionTable {
        &self.connections
    }

    /// The limits on open connections.
    pub(super) fn connection_limit(&self) -> ConnectionLimit {
        self.connection_limit
    }

    /// Begins to drain: each connection that has had a request closes after the response to the one in
    /// progress. Those that have had none, or are accepted later, close with their first response.
    pub(crate) fn drain(&self) {
        self.handler.start_draining();
        self.connections.request_close_of_used();
    }

    /// Drains all connections, also those that have had no request. To be called when no further one is
    /// accepted.
    pub(crate) fn drain_all(&self) {
        self.connections.request_close_of_all();
    }

    /// Waits until no connection is open.
    pub(crate) async fn all_closed(&self) {
        self.connections.all_closed().await;
    }

    /// Serves a connection in a task of its own.
    pub(super) fn serve(self: &Rc<Self>, stream: TcpStream, role: ConnectionRole) {
        if let Err(error) = stream.set_nodelay(true) {
            tracing::warn!(
                target: target::DOWNSTREAM,
                %error,
                "cannot set TCP_NODELAY; responses may be delayed"
            );
        }
        let connection = Rc::new(Connection::new(stream, role));
        let id = self.connections.insert(connection.clone());
        let server = self.clone();
        // The table of connections stands for the task: the shutdown waits until it is empty.
        spawn_local(async move {
            server.drive(&connection).await;
            server.connections.remove(id);
        });
    }

    /// Reads requests and writes responses until the connection ends. Dropping the future closes the socket.
    async fn drive(&self, connection: &Connection) {
        let service = service_fn(|request| self.handler.respond(connection, request));
        let driver = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .auto_date_header(false)
            .serve_connection(TokioIo::new(connection.shared_stream()), service);
        let mut driver = pin!(driver);
        let mut first_request_timeout = pin!(sleep_until(connection.first_request_deadline()));
        loop {
            // Nothing is lost on cancellation: all three futures are polled again in the next round. A
            // request to close that arrives between rounds is stored by its `Notify`.
            tokio::select! {
                // An error is the client's: it disconnected, or sent what is not HTTP and has got a
                // response to that.
                _ = driver.as_mut() => return,
                () = connection.close_requested() => match connection.stage() {
                    ConnectionStage::Aborted => return,
                    _ => driver.as_mut().graceful_shutdown(),
                },
                () = first_request_timeout.as_mut(), if !first_request_timeout.is_elapsed() => {
                    // Without this a client that never completes a request would occupy a connection: hyper's
                    // timeout is for the head alone, and longer than clients are promised.
                    if connection.stage() == ConnectionStage::AwaitingFirstRequest {
                        return;
                    }
                }
            }
        }
    }
}
