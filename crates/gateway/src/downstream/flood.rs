//! Bytes that a client sends after a request in progress: when they are a flood, and how they are discarded.
//!
//! hyper reads no further than the request. Where the unread bytes fill the socket's buffer, the client's
//! close cannot arrive behind them, and its request would run on for nobody. Discarding the bytes makes way
//! for the close.
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// This many unread bytes after a request in progress are a flood. Usual clients send one request at a time.
pub(super) const MIN_FLOOD_BYTES: usize = 64 * 1024;
/// Reads in one round of discarding, each of up to [`MIN_FLOOD_BYTES`]. Other connections get their turn
/// between rounds.
const READS_PER_ROUND: usize = 16;

/// The result of a round of discarding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DiscardResult {
    /// The round is over, and more may be unread.
    MoreUnread,
    /// Nothing is unread at present.
    NoneUnread,
    /// The client has closed or reset the connection.
    ClientDisconnected,
}

/// Whether the socket has a flood of unread bytes.
pub(super) fn is_flood(stream: &TcpStream) -> bool {
    let mut buffer = vec![MaybeUninit::uninit(); MIN_FLOOD_BYTES];
    matches!(SockRef::from(stream).peek(&mut buffer), Ok(length) if length == MIN_FLOOD_BYTES)
}

/// Discards unread bytes, up to one round of them.
pub(super) fn discard(stream: &TcpStream) -> DiscardResult {
    let mut buffer = vec![MaybeUninit::uninit(); MIN_FLOOD_BYTES];
    for _ in 0..READS_PER_ROUND {
        // Read through the runtime: only so does it learn that the socket is empty, and report what arrives
        // next.
        match stream.try_io(Interest::READABLE, || SockRef::from(stream).recv(&mut buffer)) {
            Ok(1..) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return DiscardResult::NoneUnread,
            Ok(0) | Err(_) => return DiscardResult::ClientDisconnected,
        }
    }
    DiscardResult::MoreUnread
}
