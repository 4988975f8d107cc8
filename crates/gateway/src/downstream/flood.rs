//! Detects a flood of pipelined bytes, which follow the request in progress in the stream, and discards it.
//!
//! hyper reads no further than the request in progress. If the unread bytes fill the socket's receive buffer,
//! a close by the client cannot arrive behind them, and the request would go on although no client waits for
//! its response. Discarding the bytes lets the close arrive.
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// The number of unread pipelined bytes that counts as a flood. A typical client sends one
/// request at a time.
pub(super) const MIN_FLOOD_BYTES: usize = 64 * 1024;
/// The number of reads in one round of discarding, each of up to [`MIN_FLOOD_BYTES`] bytes. Between rounds
/// other connections are served.
const READS_PER_ROUND: usize = 16;

/// The result of a round of discarding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DiscardResult {
    /// The round is over, and more bytes may be unread.
    MoreUnread,
    /// No bytes are unread at present.
    NoneUnread,
    /// The client has closed or reset the connection.
    ClientDisconnected,
}

/// Returns whether the socket has a flood of unread pipelined bytes.
pub(super) fn is_flood(stream: &TcpStream) -> bool {
    let mut buffer = vec![MaybeUninit::uninit(); MIN_FLOOD_BYTES];
    matches!(SockRef::from(stream).peek(&mut buffer), Ok(length) if length == MIN_FLOOD_BYTES)
}

/// Discards unread bytes, at most [`READS_PER_ROUND`] reads of them.
pub(super) fn discard(stream: &TcpStream) -> DiscardResult {
    let mut buffer = vec![MaybeUninit::uninit(); MIN_FLOOD_BYTES];
    for _ in 0..READS_PER_ROUND {
        // Reads through the runtime: it must learn from `WouldBlock` that the socket is empty, to report the
        // next bytes that arrive.
        match stream.try_io(Interest::READABLE, || SockRef::from(stream).recv(&mut buffer)) {
            Ok(1..) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return DiscardResult::NoneUnread,
            Ok(0) | Err(_) => return DiscardResult::ClientDisconnected,
        }
    }
    DiscardResult::MoreUnread
}
