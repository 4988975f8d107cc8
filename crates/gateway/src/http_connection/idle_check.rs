//! Whether a connection that carries no request can carry another one.
use std::io;

/// What was found on a connection that carries no request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IdleCheck {
    /// It can carry another request.
    Usable,
    /// Bytes arrived that belong to no request. They would be taken for the response to the next one.
    UnexpectedBytes,
    /// The far end has closed it, or it broke. A request written to it would be lost, and may have been
    /// processed.
    Closed,
}

impl IdleCheck {
    /// The result for a connection. `is_ready`: hyper can take a request; `has_read_bytes`: hyper has just
    /// read some; `unread`: the result of a peek at one byte of the socket.
    pub(super) fn new(is_ready: bool, has_read_bytes: bool, unread: &io::Result<usize>) -> Self {
        if has_read_bytes || matches!(unread, Ok(1)) {
            IdleCheck::UnexpectedBytes
        } else if is_ready && matches!(unread, Err(error) if error.kind() == io::ErrorKind::WouldBlock) {
            IdleCheck::Usable
        } else {
            IdleCheck::Closed
        }
    }
}
