//! Tests of how soon a client's disconnect is noticed.
use super::active_connection;
use crate::downstream::flood::MIN_FLOOD_BYTES;
use socket2::SockRef;
use std::future::{poll_fn, Future};
use std::io::Write;
use std::net::TcpStream as Client;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::Instant;

/// A way for a client to disconnect.
type Disconnect = fn(Client);

/// The ways for a client to disconnect, with their names in failure messages.
const WAYS_TO_DISCONNECT: [(&str, Disconnect); 3] =
    [("closes", drop), ("resets", reset), ("half-closes", half_close)];

/// Resets the connection.
fn reset(client: Client) {
    SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("SO_LINGER is set");
}

/// Closes the connection for writing and leaves it open for reading.
fn half_close(client: Client) {
    client.shutdown(std::net::Shutdown::Write).expect("the write side is shut down");
    // Dropping the socket would close it for reading too.
    std::mem::forget(client);
}

/// Returns how long it takes, in simulated time, to notice that a client disconnects. The client writes
/// `written_before` before the wait for its disconnect begins, and `written_after` bytes before it
/// disconnects.
async fn time_to_notice(disconnect: Disconnect, written_before: &[u8], written_after: usize) -> Duration {
    let (connection, mut client) = active_connection().await;
    client.write_all(written_before).expect("the bytes fit into the socket buffers");
    let mut disconnected = pin!(connection.client_disconnected());
    for _ in 0..10 {
        assert!(
            poll_fn(|cx| Poll::Ready(disconnected.as_mut().poll(cx).is_pending())).await,
            "the client is still connected"
        );
        yield_now().await;
    }
    // The bytes that do not fit into the buffers of the two sockets are not written.
    client.set_nonblocking(true).expect("non-blocking mode is set");
    let mut rest = written_after;
    while let Some(n) = client.write(&vec![b'x'; rest.min(MIN_FLOOD_BYTES)]).ok().filter(|n| *n > 0) {
        rest -= n;
    }
    let start = Instant::now();
    disconnect(client);
    disconnected.await;
    start.elapsed()
}

/// A client closes, resets or half-closes its connection while its request is in progress. Expected: the
/// gateway notices it from the socket and not from a timer, that is, after no simulated time, with or without
/// a few unread bytes before the close.
#[tokio::test(start_paused = true)]
async fn disconnect_is_noticed_at_once() {
    for (name, disconnect) in WAYS_TO_DISCONNECT {
        assert_eq!(time_to_notice(disconnect, b"", 0).await, Duration::ZERO, "{name}");
        assert_eq!(
            time_to_notice(disconnect, b"", 10).await,
            Duration::ZERO,
            "{name}, its last bytes unread"
        );
    }
}

/// A client writes bytes after its request, in one case more than the buffers of both sockets hold, and
/// disconnects. While the bytes fill the buffers, the close cannot arrive, and the request would go on
/// although no client waits for it. Expected: the bytes are discarded and the disconnect is noticed within 50
/// ms. That is half of the 100 ms within which the gateway must notice a disconnect.
#[tokio::test(start_paused = true)]
async fn disconnect_behind_unread_bytes_is_noticed_within_50_ms() {
    for (name, disconnect) in WAYS_TO_DISCONNECT {
        for written_after in [0, 10, MIN_FLOOD_BYTES / 2, 2 * MIN_FLOOD_BYTES, 16 << 20] {
            let time = time_to_notice(disconnect, b"GET /", written_after).await;
            assert!(time <= Duration::from_millis(50), "{name} after {written_after} bytes: {time:?}");
        }
    }
}
