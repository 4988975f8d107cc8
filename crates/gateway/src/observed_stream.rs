//! A TCP stream that hyper reads and writes while its owner inspects the socket and learns of the progress,
//! which hyper does not report.
use std::cell::RefCell;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The maximum number of bytes that one read takes, a page of memory. hyper offers a buffer of 8 KiB or more,
/// and whatever was once written to it stays in memory for as long as the connection is open. A long body is
/// read in many pieces, each of which is removed from the buffer before the next.
const MAX_READ_BYTES: usize = 4096;

/// Learns the result of each operation on a stream.
pub(crate) trait StreamObserver {
    /// Called with the result of a read: the number of bytes, which is 0 at the end of the stream.
    fn on_read(&self, result: &Poll<io::Result<usize>>);

    /// Called with the result of a write: the number of bytes.
    fn on_write(&self, result: &Poll<io::Result<usize>>);

    /// Called with the result of a flush. hyper flushes its stream once it has written everything to it.
    fn on_flush(&self, _result: &Poll<io::Result<()>>) {}
}

/// A TCP stream that reports to an observer. Its owner shares the socket, so that it can inspect the socket
/// while hyper owns this stream.
pub(crate) struct ObservedStream<O> {
    /// The socket.
    stream: Rc<RefCell<TcpStream>>,
    /// The observer of the operations.
    observer: Rc<O>,
}

impl<O> ObservedStream<O> {
    /// Wraps `stream` and reports its operations to `observer`.
    pub(crate) fn new(stream: Rc<RefCell<TcpStream>>, observer: Rc<O>) -> Self {
        ObservedStream { stream, observer }
    }

    /// Calls `call` with the socket.
    fn with_stream<T>(&self, call: impl FnOnce(Pin<&mut TcpStream>) -> T) -> T {
        call(Pin::new(&mut *self.stream.borrow_mut()))
    }
}

impl<O: StreamObserver> AsyncRead for ObservedStream<O> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut piece = [MaybeUninit::uninit(); MAX_READ_BYTES];
        let mut piece = ReadBuf::uninit(&mut piece);
        let mut limited = piece.take(buf.remaining());
        let result = self.with_stream(|stream| stream.poll_read(cx, &mut limited));
        let result = result.map_ok(|()| {
            buf.put_slice(limited.filled());
            limited.filled().len()
        });
        self.observer.on_read(&result);
        result.map_ok(|_| ())
    }
}

impl<O: StreamObserver> AsyncWrite for ObservedStream<O> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = self.with_stream(|stream| stream.poll_write(cx, buf));
        self.observer.on_write(&result);
        result
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = self.with_stream(|stream| stream.poll_write_vectored(cx, bufs));
        self.observer.on_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = self.with_stream(|stream| stream.poll_flush(cx));
        self.observer.on_flush(&result);
        result
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with_stream(|stream| stream.poll_shutdown(cx))
    }
}
