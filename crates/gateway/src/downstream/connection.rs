//! One client's connection: how far it has come, and how its client's departure is noticed.
use super::flood::{self, Discarded};
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

/// A new client's first request, head and body, must be here within this: the client is owed an error or a
/// close within 3 s of connecting.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// How often unread bytes behind a request in progress are looked at for whether they are a flood yet. Only
/// they call for a timer: the socket reports further bytes by itself, and, where none are unread, a client
/// that leaves.
const FLOOD_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The pause between two rounds of discarding. A client that leaves must be noticed at once, however much of
/// what it wrote is still on its way: at this rate both ends' full buffers are emptied in some 40 ms.
const DISCARD_INTERVAL: Duration = Duration::from_millis(5);

/// How far a connection has come. The order is the one in which connections make room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ConnectionStage {
    /// No whole request has come yet.
    AwaitingFirstRequest,
    /// Between requests.
    Idle,
    /// A request is in progress, or the connection closes after its response.
    Active,
    /// Told to close before any whole request had come, or left by its client.
    Discarded,
}

/// What is done with the requests of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionRole {
    /// They are served.
    Serving,
    /// They are refused: the connection is beyond the bound.
    Refusing,
}

/// One connection. hyper owns one half of the stream; this half looks at the socket.
pub(super) struct Connection {
    stage: Cell<ConnectionStage>,
    stage_since: Cell<Instant>,
    accepted_at: Instant,
    close_requested: Notify,
    role: ConnectionRole,
    stream: Rc<RefCell<TcpStream>>,
    /// So much came behind a request that it was discarded.
    is_flooded: Cell<bool>,
}

impl Connection {
    /// A connection that was accepted just now.
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

    /// The half of the stream for hyper.
    pub(super) fn shared_stream(&self) -> SharedStream {
        SharedStream::new(self.stream.clone())
    }

    /// How far the connection has come.
    pub(super) fn stage(&self) -> ConnectionStage {
        self.stage.get()
    }

    /// When it came to this stage.
    pub(super) fn stage_since(&self) -> Instant {
        self.stage_since.get()
    }

    /// What is done with its requests.
    pub(super) fn role(&self) -> ConnectionRole {
        self.role
    }

    /// Whether its client sent a flood of bytes. The connection then closes after its response.
    pub(super) fn is_flooded(&self) -> bool {
        self.is_flooded.get()
    }

    /// When the first request must have come as a whole.
    pub(super) fn first_request_deadline(&self) -> Instant {
        self.accepted_at + FIRST_REQUEST_TIMEOUT
    }

    /// Comes to a stage.
    pub(super) fn enter(&self, stage: ConnectionStage) {
        self.stage.set(stage);
        self.stage_since.set(Instant::now());
    }

    /// Begins with a request that has come as a whole. Never returns if the client has left, which may have
    /// been long before its request was read: what is dispatched may be sent at once.
    pub(super) async fn begin_request(&self) {
        if self.has_client_left() {
            self.abandon().await;
        }
        self.enter(ConnectionStage::Active);
    }

    /// Asks the connection's task to close once the request in progress has its response.
    pub(super) fn request_close(&self) {
        self.close_requested.notify_one();
    }

    /// Waits until it was asked to close.
    pub(super) async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    /// Closes the connection, which carries no request, to make room for another. One that is idle may be
    /// reading a request at this moment, and then still answers it.
    pub(super) fn evict(&self) {
        self.stage.set(match self.stage.get() {
            ConnectionStage::AwaitingFirstRequest => ConnectionStage::Discarded,
            _ => ConnectionStage::Active,
        });
        self.request_close();
    }

    /// Ends the connection of a client that has left, and with it the future that waits here.
    pub(super) async fn abandon(&self) -> ! {
        self.stage.set(ConnectionStage::Discarded);
        self.request_close();
        pending().await
    }

    /// Whether the client has closed its side or reset, however much of what it wrote is not read yet.
    fn has_client_left(&self) -> bool {
        let stream = self.stream.borrow();
        let mut ready = pin!(stream.ready(Interest::READABLE));
        let ready = ready.as_mut().poll(&mut Context::from_waker(Waker::noop()));
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Waits until the client has left while its request is in progress. hyper notices that only where
    /// nothing came behind the request, since it reads no further.
    ///
    /// Cancel safe: what was discarded is lost either way.
    pub(super) async fn client_left(&self) {
        loop {
            // hyper waits for the socket too, in the same task: the waker that was left last wakes both.
            let readable = poll_fn(|cx| self.stream.borrow().poll_read_ready(cx)).await;
            if readable.is_err() || self.has_client_left() {
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
                Discarded::MoreUnread => sleep(DISCARD_INTERVAL).await,
                Discarded::NoneUnread => {}
                Discarded::ClientLeft => return,
            }
        }
    }
}
