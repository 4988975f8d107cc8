//! The HTTP server for clients: serves each connection, and drains all of them on shutdown.
use super::connection::{Connection, ConnectionRole, ConnectionStage};
use super::connection_limit::{ConnectionLimit, MAX_REJECTING_CONNECTIONS};
use super::connection_table::ConnectionTable;
use super::handler::RequestHandler;
use super::request_rules::{close_mode, CloseMode};
use super::server_phase::ServerPhase;
use super::settings::DownstreamSettings;
use crate::byte_budget::ByteBudget;
use crate::dispatcher::Dispatcher;
use crate::logging::target;
use crate::resources::Metrics;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout};

/// The maximum size of a request's head (request line and headers), in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;
/// How long a request's head may take to arrive, and how long a connection may be idle between requests. The
/// connection is closed when this time has passed.
const HEAD_AND_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long the rest of a request is discarded that was rejected before it had completely arrived.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(2000);

/// The HTTP server for clients: their open connections, and the handler of their requests.
pub(crate) struct DownstreamServer {
    /// Handles the requests of all connections.
    handler: RequestHandler,
    /// The open connections.
    connections: ConnectionTable,
    /// The limits on open connections.
    connection_limit: ConnectionLimit,
    /// Counts connections and responses.
    metrics: Rc<Metrics>,
    /// The budget of heads and bodies of requests.
    request_budget: Rc<ByteBudget>,
    /// The budget of the bodies of responses.
    response_budget: Rc<ByteBudget>,
}

impl DownstreamServer {
    /// Creates a server that has no connection yet and hands requests to `dispatcher`.
    pub(crate) fn new(
        dispatcher: Rc<Dispatcher>,
        settings: DownstreamSettings,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        let connection_limit = ConnectionLimit {
            max_serving: settings.max_connections,
            max_beyond_limit: MAX_REJECTING_CONNECTIONS,
        };
        let request_budget = settings.request_budget.clone();
        let response_budget = settings.response_budget.clone();
        Rc::new(DownstreamServer {
            handler: RequestHandler::new(dispatcher, settings, metrics.clone()),
            connections: ConnectionTable::default(),
            connection_limit,
            metrics,
            request_budget,
            response_budget,
        })
    }

    /// Returns the open connections.
    pub(super) fn connections(&self) -> &ConnectionTable {
        &self.connections
    }

    /// Returns the counters.
    pub(super) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the number of bytes that requests take.
    pub(crate) fn request_bytes(&self) -> usize {
        self.request_budget.used()
    }

    /// Returns the budget of the bodies of responses.
    pub(super) fn response_budget(&self) -> &ByteBudget {
        &self.response_budget
    }

    /// Returns the number of bytes that bodies of responses take.
    pub(crate) fn response_bytes(&self) -> usize {
        self.response_budget.used()
    }

    /// Returns the limits on open connections.
    pub(super) fn connection_limit(&self) -> ConnectionLimit {
        self.connection_limit
    }

    /// Starts to drain the server. A connection that has already had a request closes at once, or after the
    /// response if a request is in progress or has begun to arrive. A connection that has had no request yet,
    /// or is accepted later, closes after its first response.
    pub(crate) fn drain(&self) {
        self.handler.phase().advance(ServerPhase::Draining);
        self.connections.request_close_of_used();
    }

    /// Drains all connections, including those that have had no request: if none has begun to arrive, they
    /// close at once. To be called once no further connection is accepted.
    pub(crate) fn drain_all(&self) {
        self.connections.request_close_of_all();
    }

    /// Ends the server: no further request is dispatched, and each request that has not completely arrived is
    /// rejected at once. The responses to the requests that were dispatched are left to the dispatcher.
    /// Returns the number of open connections.
    pub(crate) fn end(&self) -> usize {
        self.handler.phase().advance(ServerPhase::Ending);
        self.connections.request_close_of_all();
        self.connections.len()
    }

    /// Returns the number of open connections.
    pub(crate) fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Waits until no connection is open.
    pub(crate) async fn all_closed(&self) {
        self.connections.all_closed().await;
    }

    /// Spawns a task that serves a connection.
    pub(super) fn serve(self: &Rc<Self>, stream: TcpStream, role: ConnectionRole) {
        if let Err(error) = stream.set_nodelay(true) {
            tracing::warn!(
                target: target::DOWNSTREAM,
                %error,
                "cannot set TCP_NODELAY on a client connection; its responses may be delayed"
            );
        }
        self.metrics.connections_accepted.increment();
        let connection = Rc::new(Connection::new(stream, role, self.request_budget.clone()));
        let id = self.connections.insert(connection.clone());
        let server = self.clone();
        // The task's handle is not needed: the shutdown waits until the table of connections is empty.
        spawn_local(async move {
            if server.drive(&connection).await == CloseMode::RejectIncompleteHead {
                connection.reject_incomplete_head();
            }
            if connection.is_request_cut_off() {
                discard_rest(&connection).await;
            }
            server.connections.remove(id);
        });
    }

    /// Reads requests and writes responses until the connection closes, and returns how it closes.
    async fn drive(&self, connection: &Connection) -> CloseMode {
        let service = service_fn(|request| self.handler.respond(connection, request));
        let driver = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_AND_IDLE_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .auto_date_header(false)
            .serve_connection(TokioIo::new(connection.observed_stream()), service);
        let mut driver = pin!(driver);
        let mut first_request_timeout = pin!(sleep_until(connection.first_request_deadline()));
        loop {
            // Cancellation by `select!` loses nothing: `driver` and `first_request_timeout` are polled again
            // in the next iteration, and `Notify` stores a close request that arrives between iterations.
            tokio::select! {
                // An error is ignored because the client caused it: it disconnected, or it sent something
                // that is not HTTP, to which hyper has responded.
                _ = driver.as_mut() => return CloseMode::AfterResponse,
                () = connection.close_requested() => match self.close_mode(connection) {
                    CloseMode::AfterResponse => driver.as_mut().graceful_shutdown(),
                    CloseMode::AfterNextResponse => {}
                    mode @ (CloseMode::Abort | CloseMode::RejectIncompleteHead) => return mode,
                },
                () = connection.socket().out_of_memory() => {
                    self.log_head_without_memory();
                    return CloseMode::RejectIncompleteHead;
                }
                () = first_request_timeout.as_mut(), if !first_request_timeout.is_elapsed() => {
                    // Without this timeout, a client that never completes a request would hold a connection:
                    // hyper's timeout covers only the head, and it is longer than the 3 s within which a
                    // new client is guaranteed a response or a close.
                    if connection.stage() == ConnectionStage::AwaitingFirstRequest {
                        self.metrics.first_request_timeouts.increment();
                        return CloseMode::Abort;
                    }
                }
            }
        }
    }

    /// Logs and counts a request that is rejected because there is no memory for its head.
    fn log_head_without_memory(&self) {
        self.metrics.requests_rejected_for_memory.increment();
        tracing::warn!(
            target: target::DOWNSTREAM,
            used = self.request_budget.used(),
            "request rejected: no memory left for its head, which has not completely arrived"
        );
    }

    /// Returns how a connection closes for which a close was requested.
    fn close_mode(&self, connection: &Connection) -> CloseMode {
        close_mode(self.handler.phase().get(), connection.stage(), connection.request_progress())
    }
}

/// Discards the rest of what a client sends after its last response. A client that neither reads nor closes
/// holds the connection for [`DISCARD_TIMEOUT`], or until it is evicted for another.
async fn discard_rest(connection: &Connection) {
    connection.enter_stage(ConnectionStage::Discarding);
    tokio::select! {
        _ = timeout(DISCARD_TIMEOUT, connection.discard_until_disconnected()) => {}
        () = connection.aborted() => {}
    }
}
