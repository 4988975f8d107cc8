//! Tests of client connections: how long a new one may take to send a request, and which are closed when
//! their number reaches the limit.
use crate::common::*;
use serde_json::json;
use std::time::{Duration, Instant};

/// Starts a gateway with a limit of 64 descriptors, 32 of which are for connections and 19 of those for
/// clients. Its quota is too large to reject any request.
fn start_with_64_descriptors(endpoint: &StubServer) -> (GatewayProcess, SequentialDiscovery) {
    start_gateway_with(&[endpoint.addr], |config| {
        config["limits"]["sockets"] = json!(64);
        config["settings"]["tiersOfService"][0]["peakUnits"] = json!(1000.0);
    })
}

/// Clients connect and send nothing, half a head, or half a body. Without a deadline they could hold their
/// connections forever. Expected: each gets an error or a close within 3 s, while a connection that has
/// carried a request may stay idle.
#[test]
fn closes_a_new_connection_without_a_complete_request_within_3_s() {
    let endpoint = StubServer::serving("");
    let (gateway, _discovery) = start_gateway(&[&endpoint]);
    let mut served = gateway.client();
    assert_eq!(served.request(&ClientRequest::new("read")).status(), 200);
    let start = Instant::now();
    let texts = [
        String::new(),
        "GET /api/00000000b4d65521 HTTP/1.1\r\nHost: ".to_string(),
        ClientRequest::new("post").text().replace("Content-Length: 0", "Content-Length: 100"),
    ];
    let mut clients: Vec<_> = texts.iter().map(|_| gateway.client()).collect();
    clients.iter_mut().zip(&texts).for_each(|(client, text)| client.write(text));
    for client in &mut clients {
        if let Some(response) = client.read() {
            assert_eq!(response.status(), 408);
            assert!(client.closes_within(TEST_TIMEOUT));
        }
    }
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "the connections were closed only after {:?}",
        start.elapsed()
    );
    assert_eq!(served.request(&ClientRequest::new("read")).status(), 200);
}

/// Clients that have been served stay connected until the limit is reached. If new connections were closed,
/// the gateway would serve no other client. Expected: every new client is served, and the connection that has
/// been idle longest is closed.
#[test]
fn closes_the_longest_idle_connection_beyond_the_limit() {
    let endpoint = StubServer::serving("");
    let (gateway, _discovery) = start_with_64_descriptors(&endpoint);
    let mut first = gateway.client();
    assert_eq!(first.health_status(), 200);
    // Every new client is served. Once the limit is reached, the first connection is closed.
    let (start, mut others) = (Instant::now(), Vec::new());
    while !first.closes_within(Duration::from_millis(5)) {
        assert!(start.elapsed() < TEST_TIMEOUT, "the first connection stays open");
        let mut other = gateway.client();
        assert_eq!(other.health_status(), 200);
        others.push(other);
    }
    assert!(others.len() >= 19, "a connection was closed before the limit was reached");
}

/// A hundred silent connections are opened faster than they time out. If they evicted connections that have
/// carried requests, well-behaved clients would lose theirs. Expected: requests over new connections are
/// served, and a connection that has carried a request stays open.
#[test]
fn closes_silent_connections_before_served_ones_beyond_the_limit() {
    let endpoint = StubServer::serving("");
    let (gateway, _discovery) = start_with_64_descriptors(&endpoint);
    let mut served = gateway.client();
    assert_eq!(served.request(&ClientRequest::new("read")).status(), 200);
    let silent: Vec<_> = (0..100).map(|_| gateway.client()).collect();
    for _ in 0..4 {
        assert_eq!(gateway.client().request(&ClientRequest::new("read")).status(), 200);
    }
    assert_eq!(served.request(&ClientRequest::new("read")).status(), 200);
    drop(silent);
}

/// Every connection within the limit has a request in progress, and another client sends a request. If its
/// connection were not accepted, the client would wait in vain. Expected: 503 with `Connection: close`.
#[test]
fn rejects_a_request_beyond_the_limit_if_no_connection_is_idle() {
    let endpoint = StubServer::silent();
    let (gateway, _discovery) = start_with_64_descriptors(&endpoint);
    // As many requests as connections whose requests are served.
    let mut busy = Vec::new();
    for _ in 0..19 {
        let mut client = gateway.client();
        client.write(&ClientRequest::new("read").text());
        busy.push(client);
    }
    let rejected = gateway.client().request(&ClientRequest::new("read"));
    assert_eq!((rejected.status(), rejected.header("connection")), (503, Some("close")));
}
