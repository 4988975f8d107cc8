//! Tests of every way in which a client may disconnect, for each thing that its request may wait for. The
//! tests hold back what the request waits for until the gateway has closed the client's connection, so that
//! the result does not depend on the machine's speed.
use crate::common::*;
use serde_json::{json, Value};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// A way to disconnect, and what the client writes after its request before it disconnects.
struct DisconnectKind {
    /// The name that failure messages show.
    name: &'static str,
    trailing_bytes: fn() -> Vec<u8>,
    /// The action on the stream before it is closed.
    before_close: fn(&TcpStream),
    /// Whether the client's end stays open for reading.
    stays_open_for_reading: bool,
}

fn disconnect_kinds() -> [DisconnectKind; 5] {
    let kind = |name, trailing_bytes| DisconnectKind {
        name,
        trailing_bytes,
        before_close: |_| {},
        stays_open_for_reading: false,
    };
    [
        kind("close", Vec::new),
        DisconnectKind {
            before_close: |s| socket2::SockRef::from(s).set_linger(Some(Duration::ZERO)).expect("set linger"),
            ..kind("reset", Vec::new)
        },
        DisconnectKind {
            before_close: |s| s.shutdown(Shutdown::Write).expect("shut down writing"),
            stays_open_for_reading: true,
            ..kind("half-close", Vec::new)
        },
        kind("close after a second request", || ClientRequest::new("read").text().into()),
        kind("close after a flood of bytes", || vec![b'x'; 8 << 20]),
    ]
}

/// A client that has sent a request and will disconnect before the response.
struct DisconnectingClient(TcpStream);

impl DisconnectingClient {
    fn submit(gateway: &GatewayProcess, request: &ClientRequest) -> DisconnectingClient {
        let mut stream = TcpStream::connect(gateway.addr).expect("connect to the gateway");
        stream.write_all(request.text().as_bytes()).expect("write to the gateway");
        DisconnectingClient(stream)
    }

    fn assert_unanswered(&self, kind: &DisconnectKind) {
        self.0.set_nonblocking(true).expect("make the stream non-blocking");
        let unanswered = self.0.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
        assert!(unanswered, "{}: the request was answered before the disconnect", kind.name);
    }

    /// Disconnects while the request is active, and waits until the gateway has closed its end.
    fn disconnect(mut self, gateway: &GatewayProcess, kind: &DisconnectKind) {
        let gateway_end = gateway.accepted_socket_of(&self.0);
        self.assert_unanswered(kind);
        // Of a flood, only as much is written as the socket accepts without blocking.
        let _ = self.0.write(&(kind.trailing_bytes)());
        (kind.before_close)(&self.0);
        let reading_end = kind.stays_open_for_reading.then(|| self.0.try_clone().expect("clone the stream"));
        drop(self.0);
        gateway.wait_until_closed(&gateway_end, kind.name);
        drop(reading_end);
    }
}

/// Starts a gateway whose quota is too large to delay or reject any request.
fn start_with_large_quota(
    endpoints: &[SocketAddr],
    change: impl Fn(&mut Value),
) -> (GatewayProcess, SequentialDiscovery) {
    start_gateway_with(endpoints, |config| {
        config["settings"]["tiersOfService"][0]["peakUnits"] = json!(1000.0);
        change(config);
    })
}

/// Sends `request` and returns the ids of the requests that the endpoint received before it.
fn ids_received_before(
    gateway: &GatewayProcess,
    endpoint: &StubServer,
    request: ClientRequest,
) -> Vec<String> {
    assert_eq!(gateway.client().request(&request).status(), 200);
    let mut ids: Vec<_> = endpoint
        .requests_so_far()
        .filter_map(|received| received.message.header("x-call-id").map(str::to_string))
        .collect();
    assert_eq!(ids.pop(), Some(request.id), "the endpoint received another request last");
    ids
}

/// A client disconnects, in each possible way, while its request is queued because there is no endpoint.
/// Without a check, the request would be sent as soon as an endpoint appears, for a client that has
/// disconnected. Expected: only another client's request is sent.
#[test]
fn never_sends_a_request_after_any_disconnect_while_it_is_queued() {
    for kind in disconnect_kinds() {
        let endpoint = StubServer::serving("");
        let (gateway, discovery) = start_with_large_quota(&[], |_| {});
        discovery.next_call();
        let client = DisconnectingClient::submit(&gateway, &ClientRequest::new("read"));
        // The gateway has read the request, because it reads the health check after it.
        assert_eq!(gateway.client().health_status(), 503);
        client.disconnect(&gateway, &kind);
        discovery.answer(complete_list(4, &[endpoint_entry("s-0", endpoint.addr, "up")]));
        discovery.next_call();
        assert_eq!(
            ids_received_before(&gateway, &endpoint, ClientRequest::new("read")),
            [""; 0],
            "{}",
            kind.name
        );
    }
}

/// A client disconnects, in each possible way, while its request waits for the quota counter. The counter
/// permits the request after the disconnect. Expected: only another client's request is sent.
#[test]
fn never_sends_a_request_after_any_disconnect_during_its_counter_call() {
    for kind in disconnect_kinds() {
        let (endpoint, counter) = (StubServer::serving(""), StubServer::silent());
        let (gateway, _discovery) =
            start_with_large_quota(&[endpoint.addr], |config| use_quota_counter(config, counter.addr));
        let request = || ClientRequest { metering: "units=1,spread=2,first=0", ..ClientRequest::new("read") };
        let client = DisconnectingClient::submit(&gateway, &request());
        let connection = counter.next_request().connection;
        client.disconnect(&gateway, &kind);
        counter.set_reply(respond("200 OK", "", "1"));
        counter.write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
        let next = ClientRequest { customer: "0000000000000007", ..request() };
        assert_eq!(ids_received_before(&gateway, &endpoint, next), [""; 0], "{}", kind.name);
    }
}

/// A client disconnects, in each possible way, while its request waits for the gateway that owns the
/// customer's quota. The owner grants the request after the disconnect. Expected: only another client's
/// request is sent.
#[test]
fn never_sends_a_request_after_any_disconnect_during_its_quota_request() {
    for kind in disconnect_kinds() {
        let (endpoint, owner) = (StubServer::serving(""), QuotaOwner::start());
        let (gateway, _discovery) =
            start_with_large_quota(&[endpoint.addr], |config| use_quota_owner(config, owner.addr()));
        let client = DisconnectingClient::submit(&gateway, &QuotaOwner::client_request());
        let quota_request = owner.next_quota_request();
        client.disconnect(&gateway, &kind);
        owner.grant(&quota_request);
        // The next customer uses no other gateway, so the gateway under test owns its quota.
        let next = ClientRequest { metering: "units=1,spread=1,first=0", ..ClientRequest::new("read") };
        assert_eq!(ids_received_before(&gateway, &endpoint, next), [""; 0], "{}", kind.name);
    }
}

/// The client stays connected while its request waits for the quota owner. Expected: the request is sent once
/// the owner grants it, and not before.
#[test]
fn sends_a_request_once_its_quota_owner_grants_it() {
    let (endpoint, owner) = (StubServer::serving(""), QuotaOwner::start());
    let (gateway, _discovery) =
        start_with_large_quota(&[endpoint.addr], |config| use_quota_owner(config, owner.addr()));
    let request = QuotaOwner::client_request();
    let mut client = gateway.client();
    client.write(&request.text());
    let quota_request = owner.next_quota_request();
    assert!(endpoint.has_received_nothing_more(), "the request was sent before the owner granted it");
    owner.grant(&quota_request);
    assert_eq!(endpoint.next_request().message.header("x-call-id"), Some(request.id.as_str()));
    assert_eq!(client.read().expect("the gateway responds").status(), 200);
}

/// A client disconnects, in each possible way, during the first attempt, which must not be cancelled and then
/// fails. Without a check, the gateway would retry for a client that has disconnected. Expected: no second
/// attempt.
#[test]
fn makes_no_further_attempt_after_a_disconnect() {
    for kind in disconnect_kinds() {
        let endpoint = StubServer::silent();
        let (gateway, _discovery) = start_with_large_quota(&[endpoint.addr], |config| {
            config["settings"]["ceilings"]["cancel"] = json!(false);
        });
        let client = DisconnectingClient::submit(&gateway, &ClientRequest::new("read"));
        let connection = endpoint.next_request().connection;
        client.disconnect(&gateway, &kind);
        endpoint.set_reply(respond("200 OK", "", ""));
        endpoint.write(connection, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(
            ids_received_before(&gateway, &endpoint, ClientRequest::new("read")),
            [""; 0],
            "{}",
            kind.name
        );
    }
}

/// A client disconnects, in each possible way, while the connection for its attempt is being established.
/// Without a check before the write, the request would be sent once the connection is established. Expected:
/// the first request on the connection is the next client's.
#[test]
fn never_sends_a_request_after_any_disconnect_during_connect() {
    for kind in disconnect_kinds() {
        let listener = FullBacklogListener::start();
        let addr = listener.addr();
        let (gateway, _discovery) = start_with_large_quota(&[addr], |config| {
            config["settings"]["ceilings"]["cancel"] = json!(false);
            config["settings"]["ceilings"]["connectTimeoutMs"] = json!(25_000.0);
        });
        let client = DisconnectingClient::submit(&gateway, &ClientRequest::new("once"));
        assert_eq!(gateway.client().health_status(), 200);
        client.disconnect(&gateway, &kind);
        let stream = listener.accept();
        let next = ClientRequest::new("once");
        let mut other = gateway.client();
        other.write(&next.text());
        let first = read_message(&mut BufReader::new(stream)).expect("the gateway sends a request");
        assert_eq!(first.header("x-call-id"), Some(next.id.as_str()), "{}", kind.name);
    }
}
