//! A client's socket that two parties share: hyper reads and writes it, and the connection's task inspects it
//! to notice what hyper does not report: a disconnect, and a request that has begun to arrive.
use super::server::MAX_HEAD_BYTES;
use crate::byte_budget::{ByteBudget, BytePermit};
use crate::observed_stream::{ObservedStream, StreamObserver};
use socket2::SockRef;
use std::cell::{Cell, Ref, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A client's socket, with the progress that hyper makes on it.
pub(super) struct ClientSocket {
    /// The socket.
    stream: Rc<RefCell<TcpStream>>,
    /// The progress that hyper makes.
    progress: Rc<StreamProgress>,
}

/// The length of a head, in bytes, up to which it needs no permit. Every connection has memory for that.
const SHORT_HEAD_BYTES: usize = 4096;

/// The progress that hyper makes on a client's socket.
pub(super) struct StreamProgress {
    /// Whether any byte has been read since the last response.
    any_bytes_read: Cell<bool>,
    /// Since when hyper may have bytes to write that the kernel has not taken; `None` if it has none.
    unflushed_since: Cell<Option<Instant>>,
    /// The number of bytes read of a head that is not complete; `None` while a request is handled, when they
    /// belong to its body.
    head_bytes: Cell<Option<usize>>,
    /// The budget that long heads are counted against.
    request_budget: Rc<ByteBudget>,
    /// The permit for the memory of a long head; `None` if there was none. It is kept with the connection,
    /// because hyper keeps its buffer.
    long_head_permit: RefCell<Option<BytePermit>>,
    /// Notified when there is no memory for a head.
    out_of_memory: Notify,
}

impl ClientSocket {
    /// Creates the state of a socket that has just been accepted. Long heads are counted against
    /// `request_budget`.
    pub(super) fn new(stream: TcpStream, request_budget: Rc<ByteBudget>) -> Self {
        let progress = StreamProgress {
            any_bytes_read: Cell::new(false),
            unflushed_since: Cell::new(None),
            head_bytes: Cell::new(Some(0)),
            request_budget,
            long_head_permit: RefCell::new(None),
            out_of_memory: Notify::new(),
        };
        ClientSocket { stream: Rc::new(RefCell::new(stream)), progress: Rc::new(progress) }
    }

    /// Records that the head of a request has completely arrived.
    pub(super) fn on_request_head(&self) {
        self.progress.head_bytes.set(None);
    }

    /// Waits until there is no memory for a head that is not complete.
    ///
    /// This method is cancel safe: a notification that comes while no task waits is stored.
    pub(super) async fn out_of_memory(&self) {
        self.progress.out_of_memory.notified().await;
    }

    /// Returns the handle through which hyper reads and writes the socket.
    pub(super) fn observed_stream(&self) -> ObservedStream<StreamProgress> {
        ObservedStream::new(self.stream.clone(), self.progress.clone())
    }

    /// Returns the socket.
    pub(super) fn stream(&self) -> Ref<'_, TcpStream> {
        self.stream.borrow()
    }

    /// Records that the request that was read last has its response.
    pub(super) fn on_response(&self) {
        self.progress.any_bytes_read.set(false);
        self.progress.head_bytes.set(Some(0));
    }

    /// Returns whether any byte has arrived since the last response, read by hyper or not.
    pub(super) fn has_bytes_of_next_request(&self) -> bool {
        let peeked = SockRef::from(&*self.stream()).peek(&mut [MaybeUninit::uninit()]);
        self.progress.any_bytes_read.get() || matches!(peeked, Ok(1))
    }

    /// Returns whether the kernel has taken everything that hyper had to write, so that bytes written past
    /// hyper follow a complete response.
    pub(super) fn is_flushed(&self) -> bool {
        self.progress.unflushed_since.get().is_none()
    }

    /// Returns for how long the client has not read all of its responses, beyond what the kernel keeps for
    /// it.
    pub(super) fn unread_time(&self, now: Instant) -> Duration {
        let since = self.progress.unflushed_since.get();
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}

impl StreamProgress {
    /// Counts bytes of a head, and acquires a permit once it is long.
    fn count_head_bytes(&self, bytes: usize) {
        let Some(read) = self.head_bytes.get() else { return };
        self.head_bytes.set(Some(read + bytes));
        let mut permit = self.long_head_permit.borrow_mut();
        if read + bytes > SHORT_HEAD_BYTES && permit.is_none() {
            *permit = self.request_budget.try_acquire(MAX_HEAD_BYTES - SHORT_HEAD_BYTES);
            if permit.is_none() {
                self.out_of_memory.notify_one();
            }
        }
    }
}

impl StreamObserver for StreamProgress {
    fn on_read(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes @ 1..)) = result {
            self.any_bytes_read.set(true);
            self.count_head_bytes(*bytes);
        }
    }

    fn on_write(&self, _result: &Poll<io::Result<usize>>) {
        if self.unflushed_since.get().is_none() {
            self.unflushed_since.set(Some(Instant::now()));
        }
    }

    fn on_flush(&self, result: &Poll<io::Result<()>>) {
        if matches!(result, Poll::Ready(Ok(()))) {
            self.unflushed_since.set(None);
        }
    }
}
