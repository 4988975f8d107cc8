use super::server::{Connection, Stage, FLOOD};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::io;
use std::io::Write;
use std::net::TcpStream as Client;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::Instant;

/// A way for a client to leave.
type Leave = fn(Client);

const WAYS: [(&str, Leave); 3] = [("closes", drop), ("resets", reset), ("ends its sending", half_close)];

fn reset(client: Client) {
    SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("a socket");
}

fn half_close(client: Client) {
    client.shutdown(std::net::Shutdown::Write).expect("a socket");
    // It stays open for reading.
    std::mem::forget(client);
}

async fn connected() -> (Connection, Client) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client = Client::connect(listener.local_addr().expect("bound")).expect("a connection");
    let (stream, _) = listener.accept().await.expect("a connection");
    // hyper has read all there was.
    assert_eq!(stream.try_read(&mut [0]).map_err(|e| e.kind()), Err(io::ErrorKind::WouldBlock));
    let now = Instant::now();
    let connection = Connection {
        stage: Cell::new(Stage::Busy),
        since: Cell::new(now),
        accepted: now,
        close: Notify::new(),
        refused: false,
        stream: Rc::new(RefCell::new(stream)),
        flooded: Cell::new(false),
    };
    (connection, client)
}

/// How long, by a clock that only goes on when nothing is left to do but wait for it, it takes to see a client
/// leave that was waited for when `before` had been written and then wrote `behind`.
async fn seen_after(leave: Leave, before: &[u8], behind: usize) -> Duration {
    let (connection, mut client) = connected().await;
    client.write_all(before).expect("the socket takes it");
    let mut left = pin!(connection.left());
    for _ in 0..10 {
        assert!(poll_fn(|cx| Poll::Ready(left.as_mut().poll(cx).is_pending())).await, "nobody has left");
        yield_now().await;
    }
    // What does not fit the two sockets is not written.
    client.set_nonblocking(true).expect("a socket");
    let mut rest = behind;
    while let Some(n) = client.write(&vec![b'x'; rest.min(FLOOD)]).ok().filter(|n| *n > 0) {
        rest -= n;
    }
    let start = Instant::now();
    leave(client);
    left.await;
    start.elapsed()
}

#[tokio::test(start_paused = true)]
async fn a_client_that_leaves_is_seen_by_its_socket_and_not_by_the_clock() {
    for (name, leave) in WAYS {
        assert_eq!(seen_after(leave, b"", 0).await, Duration::ZERO, "{name}");
        assert_eq!(seen_after(leave, b"", 10).await, Duration::ZERO, "{name}, its last words unread");
    }
}

/// What it wrote lies there unread, or still on its way: a leave must be seen within 100 ms.
#[tokio::test(start_paused = true)]
async fn a_client_that_leaves_behind_unread_bytes_is_seen_within_50_ms() {
    for (name, leave) in WAYS {
        for behind in [0, 10, FLOOD / 2, 2 * FLOOD, 16 << 20] {
            let time = seen_after(leave, b"GET /", behind).await;
            assert!(time <= Duration::from_millis(50), "{name} behind {behind} bytes: {time:?}");
        }
    }
}
