//! How far a request has been written, for the decision whether it may be written on.

/// How much of a request has been written to its connection before a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteProgress {
    /// No byte: if the write is not made, the server never learns of the request.
    NothingWritten,
    /// Some bytes: if the write is not made, the server has a request that remains incomplete.
    PartWritten,
}

/// Permits every write, for requests that may be written at any time.
pub(crate) fn always_permitted(_progress: WriteProgress) -> bool {
    true
}
