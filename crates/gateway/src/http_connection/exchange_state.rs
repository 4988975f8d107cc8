//! The progress of an exchange, as the stream of its connection shows it.
use super::write_permission::WriteProgress;
use crate::observed_stream::StreamObserver;
use std::cell::Cell;
use std::io;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::Arc;
use std::task::Poll;

/// The progress of the current exchange on a connection.
#[derive(Default)]
pub(super) struct ExchangeState {
    /// Whether any byte of the request has been written.
    pub(super) any_bytes_written: Cell<bool>,
    /// Whether everything that hyper had to write has been written, which it follows by a flush.
    all_bytes_written: Cell<bool>,
    /// Whether any byte has been read since this was last reset. It is reset when an exchange begins, after
    /// an interim response, and when an idle connection is checked.
    pub(super) any_bytes_read: Cell<bool>,
    /// Whether the server has closed the connection, or it failed.
    pub(super) connection_lost: Cell<bool>,
    /// Whether nothing is read because there is no memory for the body.
    pub(super) awaits_memory: Cell<bool>,
    /// The number of interim responses that have arrived. It is in an `Arc` because hyper's callback must be
    /// `Send` and `Sync`.
    pub(super) interim_responses: Arc<AtomicU32>,
}

impl ExchangeState {
    /// Resets the progress for a new exchange.
    pub(super) fn reset(&self) {
        self.any_bytes_written.set(false);
        self.all_bytes_written.set(false);
        self.any_bytes_read.set(false);
        self.awaits_memory.set(false);
        self.interim_responses.store(0, Relaxed);
    }

    /// Returns how much of the request has been written, or `None` if nothing is left to be written.
    pub(super) fn unfinished_write(&self) -> Option<WriteProgress> {
        match (self.all_bytes_written.get(), self.any_bytes_written.get()) {
            (true, _) => None,
            (false, true) => Some(WriteProgress::PartWritten),
            (false, false) => Some(WriteProgress::NothingWritten),
        }
    }
}

impl StreamObserver for ExchangeState {
    fn on_read(&self, result: &Poll<io::Result<usize>>) {
        match result {
            Poll::Ready(Ok(1..)) => self.any_bytes_read.set(true),
            Poll::Ready(Ok(0) | Err(_)) => self.connection_lost.set(true),
            Poll::Pending => {}
        }
    }

    fn on_write(&self, result: &Poll<io::Result<usize>>) {
        // hyper has something to write, even if it has flushed the stream before: a large head, for example.
        self.all_bytes_written.set(false);
        match result {
            Poll::Ready(Ok(1..)) => self.any_bytes_written.set(true),
            Poll::Ready(Err(_)) => self.connection_lost.set(true),
            Poll::Ready(Ok(0)) | Poll::Pending => {}
        }
    }

    fn on_flush(&self, result: &Poll<io::Result<()>>) {
        // hyper also flushes a stream to which it has nothing to write.
        if matches!(result, Poll::Ready(Ok(()))) && self.any_bytes_written.get() {
            self.all_bytes_written.set(true);
        }
    }
}
