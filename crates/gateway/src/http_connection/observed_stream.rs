//! A TCP stream that records the progress of an exchange, because hyper does not report it.
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The progress of the current exchange on a connection.
#[derive(Default)]
pub(super) struct ExchangeState {
    /// Whether any byte of the request has been written.
    pub(super) any_bytes_written: Cell<bool>,
    /// Whether any byte has been read since this was last reset. It is reset when an exchange begins, after
    /// an interim response, and when an idle connection is checked.
    pub(super) any_bytes_read: Cell<bool>,
    /// Whether the server has closed the connection, or it failed.
    pub(super) connection_lost: Cell<bool>,
    /// The number of interim responses that have arrived. It is in an `Arc` because hyper's callback must be
    /// `Send` and `Sync`.
    pub(super) interim_responses: Arc<AtomicU32>,
}

impl ExchangeState {
    /// Resets the progress for a new exchange.
    pub(super) fn reset(&self) {
        self.any_bytes_written.set(false);
        self.any_bytes_read.set(false);
        self.interim_responses.store(0, Relaxed);
    }
}

/// A TCP stream that records the progress of the current exchange. The connection shares the socket, so that
/// it can inspect the socket while hyper owns this stream.
pub(super) struct ObservedStream {
    /// The socket.
    stream: Rc<RefCell<TcpStream>>,
    /// Where the progress is recorded.
    state: Rc<ExchangeState>,
}

impl ObservedStream {
    /// Wraps `stream` and records progress in `state`.
    pub(super) fn new(stream: Rc<RefCell<TcpStream>>, state: Rc<ExchangeState>) -> Self {
        ObservedStream { stream, state }
    }

    /// Calls `call` with the socket.
    fn with_stream<T>(&self, call: impl FnOnce(Pin<&mut TcpStream>) -> T) -> T {
        call(Pin::new(&mut *self.stream.borrow_mut()))
    }

    /// Records the result of a write.
    fn record_write(&self, result: &Poll<io::Result<usize>>) {
        match result {
            Poll::Ready(Ok(written)) if *written > 0 => self.state.any_bytes_written.set(true),
            Poll::Ready(Err(_)) => self.state.connection_lost.set(true),
            _ => {}
        }
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = self.with_stream(|s| s.poll_read(cx, buf));
        match &result {
            Poll::Ready(Ok(())) if buf.filled().len() > before => self.state.any_bytes_read.set(true),
            Poll::Ready(_) => self.state.connection_lost.set(true),
            Poll::Pending => {}
        }
        result
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = self.with_stream(|s| s.poll_write(cx, buf));
        self.record_write(&result);
        result
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = self.with_stream(|s| s.poll_write_vectored(cx, bufs));
        self.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with_stream(|s| s.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with_stream(|s| s.poll_shutdown(cx))
    }
}
