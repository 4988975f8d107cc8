//! The detection that a client has disconnected, and the discarding of bytes that hide its disconnect.
use super::connection::Connection;
use super::flood::{self, DiscardResult};
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::Interest;
use tokio::time::sleep;

/// How often the pipelined bytes, those that follow the request in progress in the stream, are checked for a
/// flood. The timer is needed because a socket with unread bytes stays readable, so that readiness does not
/// report the bytes that follow them. Without unread bytes no timer is needed, because readiness reports a
/// disconnect.
const FLOOD_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The pause between two rounds of discarding. It is short enough to notice soon a disconnect that is queued
/// behind full buffers at both ends, and long enough for other connections to be served.
const DISCARD_INTERVAL: Duration = Duration::from_millis(5);

/// Whether a client is still connected after a round of discarding.
#[derive(PartialEq, Eq)]
enum ClientState {
    /// The client has not closed or reset the connection, as far as the bytes read show.
    Connected,
    /// The client has closed or reset the connection.
    Disconnected,
}

impl Connection {
    /// Returns whether the client has closed its side or reset the connection, even if bytes that it sent
    /// before are still unread.
    pub(super) fn has_client_disconnected(&self) -> bool {
        let stream = self.socket().stream();
        let mut ready = pin!(stream.ready(Interest::READABLE));
        let ready = ready.as_mut().poll(&mut Context::from_waker(Waker::noop()));
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Waits until the client disconnects while its request is in progress. Meanwhile, it detects a flood of
    /// pipelined bytes and discards it, so that a close behind the bytes can arrive. hyper notices a
    /// disconnect only if no bytes follow the request, because it reads no further than that request.
    ///
    /// This method is cancel safe: bytes that it has discarded are not needed, because the connection then
    /// closes after its response.
    pub(super) async fn client_disconnected(&self) {
        loop {
            // hyper waits for the same socket, which stores only one waker. Both waits are in the same task,
            // so the waker that was stored last wakes both.
            let readable = poll_fn(|cx| self.socket().stream().poll_read_ready(cx)).await;
            if readable.is_err() || self.has_client_disconnected() {
                return;
            }
            if !self.is_flooded() && flood::is_flood(&self.socket().stream()) {
                self.set_flooded();
            }
            if !self.is_flooded() {
                sleep(FLOOD_CHECK_INTERVAL).await;
            } else if self.discard_round().await == ClientState::Disconnected {
                return;
            }
        }
    }

    /// Discards what the client still sends, until it disconnects. Without this, the close of a socket with
    /// unread bytes would reset the connection, and the client could lose the response that it has not read
    /// yet (RFC 9112, section 9.6). For the same reason, bytes that came before a disconnect are discarded
    /// too.
    pub(super) async fn discard_until_disconnected(&self) {
        while poll_fn(|cx| self.socket().stream().poll_read_ready(cx)).await.is_ok() {
            if self.discard_round().await == ClientState::Disconnected {
                return;
            }
        }
    }

    /// Discards a round of unread bytes, and pauses if more may be unread.
    async fn discard_round(&self) -> ClientState {
        let discarded = flood::discard(&self.socket().stream());
        match discarded {
            DiscardResult::MoreUnread => sleep(DISCARD_INTERVAL).await,
            DiscardResult::NoneUnread => {}
            DiscardResult::ClientDisconnected => return ClientState::Disconnected,
        }
        ClientState::Connected
    }
}
