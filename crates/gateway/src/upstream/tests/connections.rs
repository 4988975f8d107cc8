//! Tests of connections to endpoints: the reuse delay, surplus bytes, and expired endpoint lists.
use crate::discovery::DiscoveredEndpoint;
use crate::http_connection::HttpConnection;
use crate::upstream::reuse_delay::{ReuseDelay, REUSE_DELAY, REUSE_DELAY_ACTIVE_FOR};
use crate::upstream::{UpstreamPool, UpstreamRequest};
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use irishinge_admission::{
    EndpointEntry, EndpointId, EndpointState, ListUpdateKind, MachineKindIndex, Outcome, ZoneIndex,
};
use irishinge_settings::SocketSettings;
use std::io::{Read, Write};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

fn pool() -> UpstreamPool {
    let settings = SocketSettings {
        idle_connection_timeout_ms: 60_000.0,
        connect_timeout_ms: 60_000.0,
        retry_after_enabled: false,
        counter_timeout_ms: 50.0,
        discovery_mode: irishinge_settings::DiscoveryMode::Pushed,
        drain_grace_ms: 2000.0,
    };
    UpstreamPool::new(&settings, 10)
}

fn request() -> UpstreamRequest {
    UpstreamRequest {
        method: Method::GET,
        uri: Uri::from_static("/"),
        host: HeaderValue::from_static("a"),
        call_id: HeaderValue::from_static("a"),
        idempotency_key: None,
        content_type: None,
        body: Bytes::new(),
    }
}

/// A response arrives twice, the copy some milliseconds after the first. If the connection were reused at
/// once, the copy would be taken for the next response. Expected: each reuse is delayed for a period after
/// surplus bytes were received; before and after that period, none is.
#[test]
fn reuse_is_delayed_only_for_a_period_after_surplus_bytes() {
    let reuse_delay = ReuseDelay::default();
    let now = Instant::now();
    assert!(reuse_delay.allows_reuse(now, now), "no surplus bytes were received");
    reuse_delay.begin(now);
    let answered = now + Duration::from_secs(1);
    assert!(!reuse_delay.allows_reuse(answered, answered));
    assert!(!reuse_delay.allows_reuse(answered, answered + REUSE_DELAY / 2));
    assert!(reuse_delay.allows_reuse(answered, answered + REUSE_DELAY));
    let later = now + REUSE_DELAY_ACTIVE_FOR;
    assert!(reuse_delay.allows_reuse(later, later), "the period is over");
}

/// A connection receives surplus bytes, which need not be a response, before it becomes idle or while it is
/// idle. If they were missed, copies of responses on other connections could be taken for responses. The
/// connection must close and the reuse delay begin; a close without surplus bytes must not begin the delay.
#[tokio::test]
async fn surplus_bytes_begin_the_reuse_delay_whenever_they_arrive() {
    for has_surplus in [false, true] {
        let pool = pool();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a loopback port");
        let addr = listener.local_addr().expect("the listener is bound");
        let (connection, accepted) = tokio::join!(HttpConnection::connect(addr), listener.accept());
        let mut connection = connection.expect("connect to the listener");
        let (server, _) = accepted.expect("accept the connection");
        let mut server = server.into_std().expect("convert the stream");
        server.set_nonblocking(false).expect("make the stream blocking");
        assert!(pool.is_usable(&mut connection));
        if has_surplus {
            server.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").expect("write surplus bytes");
        }
        // Once the gateway's end has seen the close, it has received all bytes before it.
        server.shutdown(std::net::Shutdown::Write).expect("shut down the stream");
        while pool.is_usable(&mut connection) {
            tokio::task::yield_now().await;
        }
        drop(connection);
        assert!(matches!(server.read(&mut [0; 16]), Ok(0) | Err(_)));
        let now = Instant::now();
        assert_eq!(pool.reuse_delay.allows_reuse(now, now), !has_surplus);
    }
}

/// The endpoint list expires while a connection is being established, or just before a pooled connection is
/// used. If the request were sent, it could go to an endpoint that is draining. Expected: nothing is written,
/// the outcome does not count as the endpoint's failure, and the attempt is sent while the list is valid.
#[tokio::test]
async fn attempt_is_not_sent_once_the_list_has_expired() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a loopback port");
    let addr = listener.local_addr().expect("the listener is bound");
    let (pool, id) = (pool(), EndpointId(1));
    let list_endpoint_as = |state| {
        let entry = EndpointEntry {
            id,
            zone: ZoneIndex(0),
            kind: MachineKindIndex(0),
            cell: 0,
            state,
            started_at_ms: None,
        };
        pool.apply_list(ListUpdateKind::Complete, &[DiscoveredEndpoint { entry, addr }]);
    };
    list_endpoint_as(EndpointState::Ready);
    let request = request();
    let until = Instant::now() + Duration::from_secs(60);
    // The list expires after the attempt has begun. The first attempt's connection is then pooled, and the
    // second attempt uses it.
    for pooled in [false, true] {
        pool.set_lease_end(until);
        let attempt = pool.attempt(id, &request, until, || true);
        pool.set_lease_end(Instant::now());
        assert_eq!(attempt.await.outcome, Outcome::NotSent, "pooled: {pooled}");
    }
    let (server, _) = listener.accept().await.expect("accept the connection");
    list_endpoint_as(EndpointState::Draining);
    let mut server = server.into_std().expect("convert the stream");
    server.set_nonblocking(false).expect("make the stream blocking");
    assert!(matches!(server.read(&mut [0; 16]), Ok(0)), "no request is written");
    // While the list is valid, the same attempt is sent.
    list_endpoint_as(EndpointState::Ready);
    pool.set_lease_end(until);
    let (attempt, answered) = tokio::join!(pool.attempt(id, &request, until, || true), async {
        let (server, _) = listener.accept().await?;
        // The socket may be reported readable before it is.
        while server.try_read(&mut [0; 4096]).is_err() {
            server.readable().await?;
            tokio::task::yield_now().await;
        }
        server.try_write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    });
    answered.expect("receive the request and write the response");
    assert_eq!(attempt.outcome, Outcome::Ok);
}
