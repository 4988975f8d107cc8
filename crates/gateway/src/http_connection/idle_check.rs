//! The check whether a connection without a request in progress can be reused.
use std::io;

/// The result of checking a connection that has no request in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IdleCheck {
    /// The connection can carry another request.
    Usable,
    /// Bytes arrived that belong to no response. They would be read as the response to the next request.
    SurplusBytes,
    /// The server has closed the connection, or it failed. A request written to it would get no response, and
    /// the server may nevertheless have processed it.
    Closed,
}

impl IdleCheck {
    /// Returns the result for a connection. `is_ready` is whether hyper can take a request, `has_read_bytes`
    /// is whether hyper has just read bytes, and `unread` is the result of a peek at one byte of the socket.
    pub(super) fn new(is_ready: bool, has_read_bytes: bool, unread: &io::Result<usize>) -> Self {
        if has_read_bytes || matches!(unread, Ok(1)) {
            IdleCheck::SurplusBytes
        } else if is_ready && matches!(unread, Err(error) if error.kind() == io::ErrorKind::WouldBlock) {
            IdleCheck::Usable
        } else {
            IdleCheck::Closed
        }
    }
}
