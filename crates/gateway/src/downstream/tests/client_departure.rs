//! How soon it is noticed that a client has left.
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

/// A way for a client to leave.
type Leave = fn(Client);

const WAYS_TO_LEAVE: [(&str, Leave); 3] =
    [("closes", drop), ("resets", reset), ("ends its sending", half_close)];

fn reset(client: Client) {
    SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("a socket");
}

fn half_close(client: Client) {
    client.shutdown(std::net::Shutdown::Write).expect("a socket");
    // It stays open for reading.
    std::mem::forget(client);
}

/// How long it takes, in simulated time, to notice that a client leaves. It had written `before` when the
/// wait for it began, and then wrote `behind` bytes.
async fn noticed_after(leave: Leave, before: &[u8], behind: usize) -> Duration {
    let (connection, mut client) = active_connection().await;
    client.write_all(before).expect("the socket takes it");
    let mut left = pin!(connection.client_disconnected());
    for _ in 0..10 {
        assert!(
            poll_fn(|cx| Poll::Ready(left.as_mut().poll(cx).is_pending())).await,
            "the client has not left"
        );
        yield_now().await;
    }
    // What does not fit the two sockets is not written.
    client.set_nonblocking(true).expect("a socket");
    let mut rest = behind;
    while let Some(n) = client.write(&vec![b'x'; rest.min(MIN_FLOOD_BYTES)]).ok().filter(|n| *n > 0) {
        rest -= n;
    }
    let start = Instant::now();
    leave(client);
    left.await;
    start.elapsed()
}

#[tokio::test(start_paused = true)]
async fn disconnect_is_noticed_by_the_socket_and_not_by_a_timer() {
    for (name, leave) in WAYS_TO_LEAVE {
        assert_eq!(noticed_after(leave, b"", 0).await, Duration::ZERO, "{name}");
        assert_eq!(noticed_after(leave, b"", 10).await, Duration::ZERO, "{name}, its last bytes unread");
    }
}

/// What it wrote lies there unread, or is still on its way: its departure must be noticed within 100 ms.
#[tokio::test(start_paused = true)]
async fn disconnect_behind_unread_bytes_is_noticed_within_50_ms() {
    for (name, leave) in WAYS_TO_LEAVE {
        for behind in [0, 10, MIN_FLOOD_BYTES / 2, 2 * MIN_FLOOD_BYTES, 16 << 20] {
            let time = noticed_after(leave, b"GET /", behind).await;
            assert!(time <= Duration::from_millis(50), "{name} behind {behind} bytes: {time:?}");
        }
    }
}
