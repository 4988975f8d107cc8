//! Connections to endpoints: the delay before reuse, surplus bytes, and expired endpoint lists.
use crate::discovery::DiscoveredEndpoint;
use crate::http_connection::HttpConnection;
use crate::upstream::reuse_delay::{ReuseDelay, DELAY_PERIOD, REUSE_DELAY};
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

/// A response arrives twice, its copy some milliseconds later. If the connection were reused at once, the
/// copy would be taken for the next response. Expected: after surplus bytes every reuse is delayed for a
/// while, and not before or after that.
#[test]
fn reuse_is_delayed_for_a_period_after_surplus_bytes_and_not_otherwise() {
    let reuse_delay = ReuseDelay::default();
    let now = Instant::now();
    assert!(reuse_delay.allows_reuse(now, now), "nothing has happened");
    reuse_delay.begin(now);
    let answered = now + Duration::from_secs(1);
    assert!(!reuse_delay.allows_reuse(answered, answered));
    assert!(!reuse_delay.allows_reuse(answered, answered + REUSE_DELAY / 2));
    assert!(reuse_delay.allows_reuse(answered, answered + REUSE_DELAY));
    let later = now + DELAY_PERIOD;
    assert!(reuse_delay.allows_reuse(later, later), "it is over");
}

/// Surplus bytes are there when a connection becomes idle, or arrive while it is idle, or are no response
/// at all. If one of these were missed, copies on other connections could be taken for responses. Expected:
/// the connection closes and the delay begins; a plain close does not begin it.
#[tokio::test]
async fn surplus_bytes_begin_the_reuse_delay_whenever_they_arrive() {
    for more in [false, true] {
        let pool = pool();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("bound");
        let (connection, accepted) = tokio::join!(HttpConnection::connect(addr), listener.accept());
        let mut connection = connection.expect("a connection");
        let (far, _) = accepted.expect("a connection");
        let mut far = far.into_std().expect("a socket");
        far.set_nonblocking(false).expect("a socket");
        assert!(pool.is_usable(&mut connection));
        if more {
            far.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").expect("written");
        }
        // The close follows it: once it is seen, all has arrived.
        far.shutdown(std::net::Shutdown::Write).expect("a close");
        while pool.is_usable(&mut connection) {
            tokio::task::yield_now().await;
        }
        drop(connection);
        assert!(matches!(far.read(&mut [0; 16]), Ok(0) | Err(_)));
        let now = Instant::now();
        assert_eq!(pool.reuse_delay.allows_reuse(now, now), !more);
    }
}

/// The list expires while a connection is being established, or just before a pooled one is used. Sent all
/// the same, the request could go to an endpoint that is draining. Expected: nothing is written, the
/// endpoint is not blamed, and the same attempt is sent while the list is valid.
#[tokio::test]
async fn nothing_is_sent_by_an_expired_list() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
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
    // The list expires once the attempt has begun, whose connection is then pooled for the next.
    for pooled in [false, true] {
        pool.set_lease_end(until);
        let attempt = pool.attempt(id, &request, until, || true);
        pool.set_lease_end(Instant::now());
        assert_eq!(attempt.await.outcome, Outcome::NotSent, "pooled: {pooled}");
    }
    let (far, _) = listener.accept().await.expect("a connection");
    list_endpoint_as(EndpointState::Draining);
    let mut far = far.into_std().expect("a socket");
    far.set_nonblocking(false).expect("a socket");
    assert!(matches!(far.read(&mut [0; 16]), Ok(0)), "nothing was written");
    // While the list holds, the same attempt is sent.
    list_endpoint_as(EndpointState::Ready);
    pool.set_lease_end(until);
    let (attempt, answered) = tokio::join!(pool.attempt(id, &request, until, || true), async {
        let (far, _) = listener.accept().await?;
        // It may be reported readable before it is.
        while far.try_read(&mut [0; 4096]).is_err() {
            far.readable().await?;
            tokio::task::yield_now().await;
        }
        far.try_write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    });
    answered.expect("a socket");
    assert_eq!(attempt.outcome, Outcome::Ok);
}
