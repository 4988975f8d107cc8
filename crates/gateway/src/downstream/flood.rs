//! Bytes that a client sends behind a request in progress: when they are a flood, and how they are discarded.
//! While they fill the socket, nobody could see the client leave.
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// So many unread bytes behind a request in progress are a flood: usual clients send one request at a time.
pub(super) const MIN_FLOOD_BYTES: usize = 64 * 1024;
/// Reads in one round of discarding, each of up to [`MIN_FLOOD_BYTES`]; other connections get their turn in
/// between.
const READS_PER_ROUND: usize = 16;

/// What a round of discarding came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Discarded {
    /// The round is over and more may be unread.
    MoreUnread,
    /// Nothing is left unread for now.
    NoneUnread,
    /// The client has closed or reset the connection.
    ClientLeft,
}

/// Whether a flood lies unread in the socket.
pub(super) fn is_flood(stream: &TcpStream) -> bool {
    let mut buffer = vec![MaybeUninit::uninit(); MIN_FLOOD_BYTES];
    matches!(SockRef::from(stream).peek(&mut buffer), Ok(length) if length == MIN_FLOOD_BYTES)
}

/// Discards unread bytes, up to one round of them.
pub(super) fn discard(stream: &TcpStream) -> Discarded {
    let mut buffer = vec![MaybeUninit::uninit(); MIN_FLOOD_BYTES];
    for _ in 0..READS_PER_ROUND {
        // Through the runtime, which learns from it that the socket is empty, and reports what comes next.
        match stream.try_io(Interest::READABLE, || SockRef::from(stream).recv(&mut buffer)) {
            Ok(1..) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Discarded::NoneUnread,
            Ok(0) | Err(_) => return Discarded::ClientLeft,
        }
    }
    Discarded::MoreUnread
}
