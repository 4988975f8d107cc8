//! A client's connection: its stage, and how much has arrived of its next request.
use super::client_socket::{ClientSocket, StreamProgress};
use super::unread_responses::MIN_UNREAD_TIME;
use crate::byte_budget::ByteBudget;
use crate::observed_stream::ObservedStream;
use socket2::SockRef;
use std::cell::Cell;
use std::future::pending;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long the first request of a new connection, head and body, may take to arrive. It leaves time to
/// keep the guarantee that a client gets a response or a close within 3 s of connecting.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// The rejection of a request whose head is incomplete, in the form of the other rejections. hyper can't
/// write it, because it has no request to respond to.
const INCOMPLETE_HEAD_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 7\r\n\r\nrefused";

/// The stage of a connection. Of two connections that are equally recent, the one in the earlier stage is
/// evicted first ([`EvictionRank`](super::eviction_order::EvictionRank)). Connections in the last two stages
/// are not evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ConnectionStage {
    /// The last response was written, and the rest of what the client sends is discarded, so that the client
    /// can read the response before the connection closes.
    Discarding,
    /// No complete request has arrived yet.
    AwaitingFirstRequest,
    /// The previous request has its response, and the next one has not completely arrived.
    Idle,
    /// A request is in progress, or the connection is about to close: after its last response, or because it
    /// was evicted while idle. It is not evicted.
    InUseOrClosing,
    /// The connection closes without a response, because it was evicted before a complete request arrived or
    /// because its client has disconnected.
    Aborted,
}

/// How much has arrived of the request that has no response yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestProgress {
    /// No byte of it has arrived.
    NotBegun,
    /// Bytes have arrived, but not its whole head.
    HeadIncomplete,
    /// Its head has arrived, and perhaps its body.
    HeadComplete,
}

/// Whether the requests on a connection are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionRole {
    /// The requests are served.
    Serving,
    /// The requests are rejected, because the connection was accepted beyond the limit.
    Rejecting,
}

/// A client's connection. hyper reads and writes its stream; this type inspects the socket.
pub(super) struct Connection {
    /// The current stage.
    stage: Cell<ConnectionStage>,
    /// When [`enter_stage`](Self::enter_stage) was last called, or when the connection was accepted. Eviction
    /// and abort do not change it.
    stage_since: Cell<Instant>,
    /// When the connection was accepted.
    accepted_at: Instant,
    /// Notifies the connection's task that the connection must close.
    close_requested: Notify,
    /// Whether the requests on the connection are served.
    role: ConnectionRole,
    /// The socket, which hyper uses too.
    socket: ClientSocket,
    /// Whether the client has pipelined a flood of bytes behind a request. They are discarded.
    is_flooded: Cell<bool>,
    /// Whether a request is being handled: its head has completely arrived, and it has no response yet.
    is_handling_request: Cell<bool>,
    /// Whether a request was rejected before it had completely arrived, because the process is about to end.
    is_request_cut_off: Cell<bool>,
}

impl Connection {
    /// Creates a connection whose `stream` has just been accepted. Long heads are counted against
    /// `request_budget`.
    pub(super) fn new(stream: TcpStream, role: ConnectionRole, request_budget: Rc<ByteBudget>) -> Self {
        let now = Instant::now();
        Connection {
            stage: Cell::new(ConnectionStage::AwaitingFirstRequest),
            stage_since: Cell::new(now),
            accepted_at: now,
            close_requested: Notify::new(),
            role,
            socket: ClientSocket::new(stream, request_budget),
            is_flooded: Cell::new(false),
            is_handling_request: Cell::new(false),
            is_request_cut_off: Cell::new(false),
        }
    }

    /// Returns the socket.
    pub(super) fn socket(&self) -> &ClientSocket {
        &self.socket
    }

    /// Returns the handle through which hyper reads and writes the stream.
    pub(super) fn observed_stream(&self) -> ObservedStream<StreamProgress> {
        self.socket.observed_stream()
    }

    /// Returns the current stage.
    pub(super) fn stage(&self) -> ConnectionStage {
        self.stage.get()
    }

    /// Returns when [`enter_stage`](Self::enter_stage) was last called, or when the connection was accepted.
    pub(super) fn stage_since(&self) -> Instant {
        self.stage_since.get()
    }

    /// Returns whether the requests on the connection are served.
    pub(super) fn role(&self) -> ConnectionRole {
        self.role
    }

    /// Returns whether the client has pipelined a flood of bytes. If it has, the connection closes after the
    /// response, because a further request may have been discarded with those bytes.
    pub(super) fn is_flooded(&self) -> bool {
        self.is_flooded.get()
    }

    /// Records that the client has pipelined a flood of bytes.
    pub(super) fn set_flooded(&self) {
        self.is_flooded.set(true);
    }

    /// Returns how much has arrived of the request that has no response yet.
    pub(super) fn request_progress(&self) -> RequestProgress {
        if self.is_handling_request.get() {
            RequestProgress::HeadComplete
        } else if self.socket.has_bytes_of_next_request() {
            RequestProgress::HeadIncomplete
        } else {
            RequestProgress::NotBegun
        }
    }

    /// Records that the head of a request has completely arrived.
    pub(super) fn on_request_head(&self) {
        self.is_handling_request.set(true);
        self.socket.on_request_head();
    }

    /// Records that the request has its response, and enters `stage`.
    pub(super) fn on_response(&self, stage: ConnectionStage) {
        self.is_handling_request.set(false);
        self.socket.on_response();
        self.enter_stage(stage);
    }

    /// Returns whether a request was rejected before it had completely arrived.
    pub(super) fn is_request_cut_off(&self) -> bool {
        self.is_request_cut_off.get()
    }

    /// Records that a request is rejected before it has completely arrived.
    pub(super) fn set_request_cut_off(&self) {
        self.is_request_cut_off.set(true);
    }

    /// Rejects a request whose head has not completely arrived, and ends the gateway's side of the
    /// connection. To be called once hyper no longer uses the stream.
    pub(super) fn reject_incomplete_head(&self) {
        self.set_request_cut_off();
        let stream = self.socket.stream();
        // A client that has not read the previous response will not read this one either.
        if self.socket.is_flushed() {
            // Errors mean that the client has disconnected.
            let _ = stream.try_write(INCOMPLETE_HEAD_RESPONSE);
        }
        let _ = SockRef::from(&*stream).shutdown(Shutdown::Write);
    }

    /// Returns when the first request must be complete.
    pub(super) fn first_request_deadline(&self) -> Instant {
        self.accepted_at + FIRST_REQUEST_TIMEOUT
    }

    /// Enters `stage` now.
    pub(super) fn enter_stage(&self, stage: ConnectionStage) {
        self.stage.set(stage);
        self.stage_since.set(Instant::now());
    }

    /// Enters [`ConnectionStage::InUseOrClosing`] for a request that has completely arrived. If the client
    /// has disconnected, aborts the connection instead and never returns.
    ///
    /// Without this check, a request could be sent to an endpoint after its client disconnected: the client
    /// may have done so long before the request was read, and a dispatched request may be sent at once. The
    /// check works while bytes are unread, because the runtime reports a closed read side separately from
    /// them. A disconnect that it reports later is noticed by
    /// [`client_disconnected`](Self::client_disconnected).
    pub(super) async fn begin_request(&self) {
        if self.has_client_disconnected() {
            self.abort().await;
        }
        self.enter_stage(ConnectionStage::InUseOrClosing);
    }

    /// Requests the connection's task to close the connection, after the response if a request is in
    /// progress.
    pub(super) fn request_close(&self) {
        self.close_requested.notify_one();
    }

    /// Waits until a close is requested. This method is cancel safe: a close that is requested while no task
    /// waits is stored.
    pub(super) async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    /// Waits until the connection must close at once, whatever stage it is in.
    ///
    /// This method is cancel safe, as [`close_requested`](Self::close_requested) is.
    pub(super) async fn aborted(&self) {
        while self.stage.get() != ConnectionStage::Aborted {
            self.close_requested().await;
        }
    }

    /// Evicts the connection, which has no request in progress. An idle connection may be reading a request
    /// at this moment; it then responds to that request before it closes. One whose client does not read
    /// would not close that way. The new stage prevents a second eviction.
    pub(super) fn evict(&self) {
        let is_unread = self.socket.unread_time(Instant::now()) >= MIN_UNREAD_TIME;
        self.stage.set(match self.stage.get() {
            ConnectionStage::AwaitingFirstRequest | ConnectionStage::Discarding => ConnectionStage::Aborted,
            _ if is_unread => ConnectionStage::Aborted,
            _ => ConnectionStage::InUseOrClosing,
        });
        self.request_close();
    }

    /// Closes the connection at once, because its client does not read its responses.
    pub(super) fn close_unread(&self) {
        self.stage.set(ConnectionStage::Aborted);
        self.request_close();
    }

    /// Aborts the connection because its client has disconnected. Never returns: when the connection's task
    /// ends, it drops the future that awaits this method.
    pub(super) async fn abort(&self) -> ! {
        self.stage.set(ConnectionStage::Aborted);
        self.request_close();
        pending().await
    }
}
