//! A client's socket that two parties share: hyper reads and writes it, and the connection's task inspects it
//! to notice what hyper does not report: a disconnect, and a request that has begun to arrive.
use socket2::SockRef;
use std::cell::{Cell, Ref, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A client's socket, with the progress that hyper makes on it.
pub(super) struct SharedSocket {
    /// The socket.
    stream: RefCell<TcpStream>,
    /// Whether hyper has read any byte since the last response.
    any_bytes_read: Cell<bool>,
    /// Whether hyper has passed everything that it has to write to the kernel.
    is_flushed: Cell<bool>,
}

impl SharedSocket {
    /// Creates the state of a socket that has just been accepted.
    pub(super) fn new(stream: TcpStream) -> Rc<Self> {
        Rc::new(SharedSocket {
            stream: RefCell::new(stream),
            any_bytes_read: Cell::new(false),
            is_flushed: Cell::new(true),
        })
    }

    /// Returns the socket.
    pub(super) fn stream(&self) -> Ref<'_, TcpStream> {
        self.stream.borrow()
    }

    /// Records that the request that was read last has its response.
    pub(super) fn on_response(&self) {
        self.any_bytes_read.set(false);
    }

    /// Returns whether any byte has arrived since the last response, read by hyper or not.
    pub(super) fn has_bytes_of_next_request(&self) -> bool {
        let peeked = SockRef::from(&*self.stream()).peek(&mut [MaybeUninit::uninit()]);
        self.any_bytes_read.get() || matches!(peeked, Ok(1))
    }

    /// Returns whether hyper has passed everything that it has to write to the kernel, so that bytes written past
    /// hyper follow a complete response.
    pub(super) fn is_flushed(&self) -> bool {
        self.is_flushed.get()
    }
}

/// A handle through which hyper reads and writes the shared socket.
pub(super) struct SharedStream(Rc<SharedSocket>);

impl SharedStream {
    /// Creates a handle on `socket`.
    pub(super) fn new(socket: Rc<SharedSocket>) -> Self {
        SharedStream(socket)
    }

    /// Calls `call` with the socket.
    fn with_stream<T>(&self, call: impl FnOnce(Pin<&mut TcpStream>) -> T) -> T {
        call(Pin::new(&mut *self.0.stream.borrow_mut()))
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = self.with_stream(|stream| stream.poll_read(cx, buf));
        if buf.filled().len() > before {
            self.0.any_bytes_read.set(true);
        }
        result
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.0.is_flushed.set(false);
        self.with_stream(|stream| stream.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0.is_flushed.set(false);
        self.with_stream(|stream| stream.poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.0.stream().is_write_vectored()
    }

    // hyper flushes its stream only when it has written its own buffer to it.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = self.with_stream(|stream| stream.poll_flush(cx));
        if matches!(result, Poll::Ready(Ok(()))) {
            self.0.is_flushed.set(true);
        }
        result
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with_stream(|stream| stream.poll_shutdown(cx))
    }
}
