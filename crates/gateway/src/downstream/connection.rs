//! One client's connection: its stage, and how a disconnect of its client is noticed.
use super::flood::{self, DiscardResult};
use super::shared_stream::SharedStream;
use std::cell::{Cell, RefCell};
use std::future::{pending, poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

/// How long a new connection's first request, head and body, may take to arrive. Clients are promised a
/// response or a close within 3 s of connecting.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// How often unread bytes after a request in progress are checked for a flood. Only then is a timer needed:
/// while bytes are unread, the socket stays readable and reports no further ones. Without unread bytes it
/// reports a disconnect by itself.
const FLOOD_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The pause between two rounds of discarding. It is short so that a disconnect behind full buffers at both
/// ends is noticed soon, and long enough for other connections to be served.
const DISCARD_INTERVAL: Duration = Duration::from_millis(5);

/// The stage of a connection. The order is the one in which connections are evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ConnectionStage {
    /// No complete request has arrived yet.
    AwaitingFirstRequest,
    /// Between requests.
    Idle,
    /// A request is in progress, or the connection closes after its response.
    Active,
    /// Evicted before any complete request arrived, or its client has disconnected.
    Aborted,
}

/// What becomes of the requests of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionRole {
    /// They are served.
    Serving,
    /// They are rejected: the connection is beyond the limit.
    Rejecting,
}

/// One connection. hyper reads and writes its stream; this side inspects the socket.
pub(super) struct Connection {
    stage: Cell<ConnectionStage>,
    stage_since: Cell<Instant>,
    accepted_at: Instant,
    close_requested: Notify,
    role: ConnectionRole,
    stream: Rc<RefCell<TcpStream>>,
    /// Its client has sent a flood of bytes after a request, which were discarded.
    is_flooded: Cell<bool>,
}

impl Connection {
    /// Creates a connection that was accepted just now.
    pub(super) fn new(stream: TcpStream, role: ConnectionRole) -> Self {
        let now = Instant::now();
        Connection {
            stage: Cell::new(ConnectionStage::AwaitingFirstRequest),
            stage_since: Cell::new(now),
            accepted_at: now,
            close_requested: Notify::new(),
            role,
            stream: Rc::new(RefCell::new(stream)),
            is_flooded: Cell::new(false),
        }
    }

    /// The handle on the stream for hyper.
    pub(super) fn shared_stream(&self) -> SharedStream {
        SharedStream::new(self.stream.clone())
    }

    /// The connection's stage.
    pub(super) fn stage(&self) -> ConnectionStage {
        self.stage.get()
    }

    /// When it entered this stage.
    pub(super) fn stage_since(&self) -> Instant {
        self.stage_since.get()
    }

    /// What becomes of its requests.
    pub(super) fn role(&self) -> ConnectionRole {
        self.role
    }

    /// Whether its client has sent a flood of bytes. The connection then closes after its response, because
    /// a next request may have been discarded.
    pub(super) fn is_flooded(&self) -> bool {
        self.is_flooded.get()
    }

    /// When the first request must be complete.
    pub(super) fn first_request_deadline(&self) -> Instant {
        self.accepted_at + FIRST_REQUEST_TIMEOUT
    }

    /// Enters a stage.
    pub(super) fn enter_stage(&self, stage: ConnectionStage) {
        self.stage.set(stage);
        self.stage_since.set(Instant::now());
    }

    /// Begins a request that is complete. Never returns if the client has disconnected.
    ///
    /// Without this check a request could be sent to an endpoint after its client disconnected, which may
    /// have happened long before the request was read: what is dispatched may be sent at once. The check
    /// holds because the runtime reports a closed read side separately from unread bytes; a disconnect that
    /// it reports later is noticed by [`client_disconnected`](Self::client_disconnected).
    pub(super) async fn begin_request(&self) {
        if self.has_client_disconnected() {
            self.abort().await;
        }
        self.enter_stage(ConnectionStage::Active);
    }

    /// Has the connection's task close once the request in progress has its response.
    pub(super) fn request_close(&self) {
        self.close_requested.notify_one();
    }

    /// Waits until a close is requested. Cancel safe: a request that nobody waits for is stored.
    pub(super) async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    /// Closes the connection, which carries no request, in favour of another. One that is idle may be
    /// reading a request at this moment, and then still responds to it.
    pub(super) fn evict(&self) {
        self.stage.set(match self.stage.get() {
            ConnectionStage::AwaitingFirstRequest => ConnectionStage::Aborted,
            _ => ConnectionStage::Active,
        });
        self.request_close();
    }

    /// Ends the connection of a client that has disconnected, and with it the future that awaits this.
    pub(super) async fn abort(&self) -> ! {
        self.stage.set(ConnectionStage::Aborted);
        self.request_close();
        pending().await
    }

    /// Whether the client has closed its side or reset the connection, even behind unread bytes.
    fn has_client_disconnected(&self) -> bool {
        let stream = self.stream.borrow();
        let mut ready = pin!(stream.ready(Interest::READABLE));
        let ready = ready.as_mut().poll(&mut Context::from_waker(Waker::noop()));
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Waits until the client disconnects while its request is in progress. hyper notices that only where
    /// nothing follows the request, since it reads no further.
    ///
    /// Cancel safe: bytes that were discarded are lost either way, and the connection then closes after its
    /// response.
    pub(super) async fn client_disconnected(&self) {
        loop {
            // hyper waits for the socket too, and a socket stores one waker only. Both waits are in the
            // same task, so whichever waker was stored last wakes both.
            let readable = poll_fn(|cx| self.stream.borrow().poll_read_ready(cx)).await;
            if readable.is_err() || self.has_client_disconnected() {
                return;
            }
            if !self.is_flooded.get() {
                self.is_flooded.set(flood::is_flood(&self.stream.borrow()));
            }
            if !self.is_flooded.get() {
                sleep(FLOOD_CHECK_INTERVAL).await;
                continue;
            }
            let discarded = flood::discard(&self.stream.borrow());
            match discarded {
                DiscardResult::MoreUnread => sleep(DISCARD_INTERVAL).await,
                DiscardResult::NoneUnread => {}
                DiscardResult::ClientDisconnected => return,
            }
        }
    }
}
