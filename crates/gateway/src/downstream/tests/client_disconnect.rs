//! How soon a disconnect of a client is noticed.
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

const WAYS_TO_DISCONNECT: [(&str, Disconnect); 3] =
    [("closes", drop), ("resets", reset), ("ends its sending", half_close)];

fn reset(client: Client) {
    SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("a socket");
}

fn half_close(client: Client) {
    client.shutdown(std::net::Shutdown::Write).expect("a socket");
    // It stays open for reading.
    std::mem::forget(client);
}

/// How long it takes, in simulated time, to notice that a client disconnects. It had written `before` when
/// the wait for it began, and then wrote `behind` bytes.
async fn time_to_notice(disconnect: Disconnect, written_before: &[u8], written_after: usize) -> Duration {
    let (connection, mut client) = active_connection().await;
    client.write_all(written_before).expect("the socket takes it");
    let mut disconnected = pin!(connection.client_disconnected());
    for _ in 0..10 {
        assert!(
            poll_fn(|cx| Poll::Ready(disconnected.as_mut().poll(cx).is_pending())).await,
            "the client is connected"
        );
        yield_now().await;
    }
    // What does not fit the two sockets is not written.
    client.set_nonblocking(true).expect("a socket");
    let mut rest = written_after;
    while let Some(n) = client.write(&vec![b'x'; rest.min(MIN_FLOOD_BYTES)]).ok().filter(|n| *n > 0) {
        rest -= n;
    }
    let start = Instant::now();
    disconnect(client);
    disconnected.await;
    start.elapsed()
}

/// A client closes, resets or half-closes its connection while its request is in progress. Expected, in
/// simulated time: the gateway notices at once, by the socket, with or without a few unread bytes before
/// the close.
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

/// A client writes bytes behind its request, up to more than both sockets take, and disconnects. While they
/// fill the socket the close cannot arrive, and the request would run for nobody. Expected: the bytes are
/// discarded and the disconnect is noticed within 50 ms, in half the time that clients are promised.
#[tokio::test(start_paused = true)]
async fn disconnect_behind_unread_bytes_is_noticed_within_50_ms() {
    for (name, disconnect) in WAYS_TO_DISCONNECT {
        for behind in [0, 10, MIN_FLOOD_BYTES / 2, 2 * MIN_FLOOD_BYTES, 16 << 20] {
            let time = time_to_notice(disconnect, b"GET /", behind).await;
            assert!(time <= Duration::from_millis(50), "{name} behind {behind} bytes: {time:?}");
        }
    }
}
