//! Tests of idle connections: which one is taken, and which ones are closed.
use super::*;
use crate::connection_budget::ConnectionBudget;
use std::io::Read;
use std::net::TcpStream;
use tokio::net::TcpListener;
use tokio::time::sleep;

const TIMEOUT: Duration = Duration::from_secs(60);

/// Adds `count` new connections, the longest idle one first. Returns the server's streams.
async fn put_connections(idle: &mut IdleConnections, count: usize) -> Vec<TcpStream> {
    let budget = ConnectionBudget::new(count);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener on a free port");
    let addr = listener.local_addr().expect("the address of the listener");
    let mut server_streams = Vec::new();
    for _ in 0..count {
        let permit = budget.try_acquire().expect("a free permit");
        let connecting = BudgetedConnection::connect(addr, permit, Instant::now() + TIMEOUT);
        let (connection, accepted) = tokio::join!(connecting, listener.accept());
        idle.put(connection.expect("a connection"));
        let server_stream =
            accepted.expect("a connection").0.into_std().expect("a socket of the standard library");
        server_stream.set_nonblocking(false).expect("blocking mode is set");
        server_stream.set_read_timeout(Some(Duration::from_secs(1))).expect("the read timeout is set");
        server_streams.push(server_stream);
        sleep(Duration::from_millis(2)).await;
    }
    server_streams
}

fn is_closed(server_stream: &mut TcpStream) -> bool {
    matches!(server_stream.read(&mut [0; 16]), Ok(0))
}

#[tokio::test]
async fn most_recently_used_connection_is_taken_first() {
    let mut idle = IdleConnections::new(TIMEOUT);
    let server_streams = put_connections(&mut idle, 3).await;
    for mut server_stream in server_streams.into_iter().rev() {
        drop(idle.take(|_| true, HttpConnection::is_usable).expect("an idle connection"));
        assert!(is_closed(&mut server_stream));
    }
    assert!(idle.take(|_| true, HttpConnection::is_usable).is_none());
}

/// The reuse delay forbids the most recently used connection. If that one were closed, the delay would cost a
/// handshake; if it were taken, the delay would have no effect. Expected: one that has been idle for longer
/// is taken, and the most recently used one stays idle.
#[tokio::test]
async fn connection_that_may_not_be_reused_yet_stays_idle() {
    let mut idle = IdleConnections::new(TIMEOUT);
    let mut server_streams = put_connections(&mut idle, 2).await;
    let longest_idle = idle.longest_idle_since().expect("an idle connection");
    drop(idle.take(|since| since <= longest_idle, HttpConnection::is_usable).expect("an idle connection"));
    assert!(is_closed(&mut server_streams[0]));
    assert!(idle.take(|since| since <= longest_idle, HttpConnection::is_usable).is_none());
    assert!(idle.take(|_| true, HttpConnection::is_usable).is_some(), "the other one stays idle");
}

/// A connection is idle for so long that its endpoint may be closing it. A request written then would be
/// lost. Expected: the connection is closed and not taken.
#[tokio::test]
async fn connection_past_the_idle_timeout_is_closed_and_not_taken() {
    let mut idle = IdleConnections::new(Duration::from_millis(1));
    let mut server_streams = put_connections(&mut idle, 2).await;
    assert!(idle.take(|_| true, HttpConnection::is_usable).is_none());
    assert!(idle.is_empty());
    assert!(is_closed(&mut server_streams[0]) && is_closed(&mut server_streams[1]));
}

/// The server closes an idle connection. A request written to it would be lost, and its descriptor would stay
/// open. Expected: the gateway closes the connection once the server's close has arrived, and not before.
#[tokio::test]
async fn connection_closed_by_the_server_is_stale() {
    let mut idle = IdleConnections::new(TIMEOUT);
    let server_streams = put_connections(&mut idle, 1).await;
    idle.close_stale(HttpConnection::is_usable);
    assert!(!idle.is_empty(), "it is still open");
    drop(server_streams);
    // The close may take a moment to arrive.
    for _ in 0..1000 {
        idle.close_stale(HttpConnection::is_usable);
        if idle.is_empty() {
            return;
        }
        sleep(Duration::from_millis(1)).await;
    }
    panic!("the connection is still idle");
}

#[tokio::test]
async fn longest_idle_connection_is_closed_first() {
    let mut idle = IdleConnections::new(TIMEOUT);
    let mut server_streams = put_connections(&mut idle, 2).await;
    idle.close_longest_idle();
    assert!(is_closed(&mut server_streams[0]));
    drop(idle.take(|_| true, HttpConnection::is_usable).expect("the other connection"));
    assert!(is_closed(&mut server_streams[1]));
}
