//! Each way in which a client may disconnect, whatever its request waits for. What it waits for comes only
//! once the gateway has closed the client's connection, so that nothing here depends on the machine's
//! speed.
use crate::common::*;
use serde_json::{json, Value};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// A way to disconnect, and what the client writes behind its request before it does.
struct DisconnectKind {
    name: &'static str,
    trailing_bytes: fn() -> Vec<u8>,
    disconnect: fn(&TcpStream),
    /// The client's end stays open for reading.
    keeps_reading: bool,
}

fn disconnect_kinds() -> [DisconnectKind; 5] {
    let kind = |name, trailing_bytes| DisconnectKind {
        name,
        trailing_bytes,
        disconnect: |_| {},
        keeps_reading: false,
    };
    [
        kind("close", Vec::new),
        DisconnectKind {
            disconnect: |s| socket2::SockRef::from(s).set_linger(Some(Duration::ZERO)).expect("a socket"),
            ..kind("reset", Vec::new)
        },
        DisconnectKind {
            disconnect: |s| s.shutdown(Shutdown::Write).expect("a socket"),
            keeps_reading: true,
            ..kind("half-close", Vec::new)
        },
        kind("behind a request", || ClientRequest::new("read").text().into()),
        kind("behind a flood", || vec![b'x'; 8 << 20]),
    ]
}

/// A client that has submitted a request, and will disconnect.
struct DisconnectingClient(TcpStream);

impl DisconnectingClient {
    fn submit(gateway: &GatewayProcess, request: &ClientRequest) -> DisconnectingClient {
        let mut stream = TcpStream::connect(gateway.addr).expect("the gateway accepts");
        stream.write_all(request.text().as_bytes()).expect("the gateway reads");
        DisconnectingClient(stream)
    }

    fn assert_unanswered(&self, kind: &DisconnectKind) {
        self.0.set_nonblocking(true).expect("a socket");
        let unanswered = self.0.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
        assert!(unanswered, "{}: its request waits", kind.name);
    }

    /// Disconnects while its request is active, and waits until the gateway has closed its end.
    fn disconnect(mut self, gateway: &GatewayProcess, kind: &DisconnectKind) {
        let gateway_end = gateway.socket_of(&self.0);
        self.assert_unanswered(kind);
        // A flood is written for as long as the gateway takes it at once.
        let _ = self.0.write(&(kind.trailing_bytes)());
        (kind.disconnect)(&self.0);
        let reading_end = kind.keeps_reading.then(|| self.0.try_clone().expect("a clone"));
        drop(self.0);
        gateway.wait_until_closed(&gateway_end, kind.name);
        drop(reading_end);
    }
}

/// A gateway whose quotas bind nobody, so that a request's fate depends on its client alone.
fn start_with_large_quota(
    endpoints: &[SocketAddr],
    change: impl Fn(&mut Value),
) -> (GatewayProcess, SequentialDiscovery) {
    start_gateway_with(endpoints, |config| {
        config["settings"]["tiersOfService"][0]["peakUnits"] = json!(1000.0);
        change(config);
    })
}

/// Submits one more request; returns the ids of all others that have come to the endpoint.
fn other_request_ids(
    gateway: &GatewayProcess,
    endpoint: &ScriptedServer,
    request: ClientRequest,
) -> Vec<String> {
    assert_eq!(gateway.client().request(&request).status(), 200);
    let mut ids: Vec<_> = endpoint
        .requests_so_far()
        .filter_map(|received| received.message.header("x-call-id").map(str::to_string))
        .collect();
    assert_eq!(ids.pop(), Some(request.id), "the last to come");
    ids
}

/// A client disconnects, in each way there is, while its request is queued because there is no endpoint.
/// Without the check the request would be sent as soon as an endpoint appears, and run for nobody.
/// Expected: only another client's request is sent.
#[test]
fn never_sends_a_request_that_was_queued_without_an_endpoint() {
    for kind in disconnect_kinds() {
        let endpoint = ScriptedServer::serving("");
        let (gateway, discovery) = start_with_large_quota(&[], |_| {});
        discovery.next_call();
        let client = DisconnectingClient::submit(&gateway, &ClientRequest::new("read"));
        // It waits: the health check was read behind it.
        assert_eq!(gateway.client().health_status(), 503);
        client.disconnect(&gateway, &kind);
        discovery.push(complete_list(4, &[endpoint_entry("s-0", endpoint.addr, "up")]));
        discovery.next_call();
        assert_eq!(
            other_request_ids(&gateway, &endpoint, ClientRequest::new("read")),
            [""; 0],
            "{}",
            kind.name
        );
    }
}

/// The same while the request waits for the quota counter, which permits it after the disconnect.
#[test]
fn never_sends_a_request_that_waited_for_the_counter() {
    for kind in disconnect_kinds() {
        let (endpoint, counter) = (ScriptedServer::serving(""), ScriptedServer::silent());
        let (gateway, _discovery) =
            start_with_large_quota(&[endpoint.addr], |config| use_counter(config, counter.addr));
        let request = || ClientRequest { metering: "units=1,spread=2,first=0", ..ClientRequest::new("read") };
        let client = DisconnectingClient::submit(&gateway, &request());
        let connection = counter.next_request().connection;
        client.disconnect(&gateway, &kind);
        counter.set_reply(respond("200 OK", "", "1"));
        counter.write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
        let next = ClientRequest { customer: "0000000000000007", ..request() };
        assert_eq!(other_request_ids(&gateway, &endpoint, next), [""; 0], "{}", kind.name);
    }
}

/// The same while the request waits for the gateway that owns its customer's quota, which grants it after
/// the disconnect.
#[test]
fn never_sends_a_request_that_waited_for_its_quota_owner() {
    for kind in disconnect_kinds() {
        let (endpoint, owner) = (ScriptedServer::serving(""), QuotaOwner::start());
        let (gateway, _discovery) =
            start_with_large_quota(&[endpoint.addr], |config| use_quota_owner(config, owner.addr()));
        let client = DisconnectingClient::submit(&gateway, &QuotaOwner::request());
        let question = owner.next_quota_request();
        client.disconnect(&gateway, &kind);
        owner.grant(&question);
        // The gateway owns the quota of a customer that uses no other gateway.
        let next = ClientRequest { metering: "units=1,spread=1,first=0", ..ClientRequest::new("read") };
        assert_eq!(other_request_ids(&gateway, &endpoint, next), [""; 0], "{}", kind.name);
    }
}

/// The counterpart: a request whose client stays is sent once the quota owner grants it, and not before.
#[test]
fn sends_a_request_once_its_quota_owner_grants_it() {
    let (endpoint, owner) = (ScriptedServer::serving(""), QuotaOwner::start());
    let (gateway, _discovery) =
        start_with_large_quota(&[endpoint.addr], |config| use_quota_owner(config, owner.addr()));
    let request = QuotaOwner::request();
    let mut client = gateway.client();
    client.write(&request.text());
    let question = owner.next_quota_request();
    assert!(endpoint.has_received_nothing(), "it waits for the owner");
    owner.grant(&question);
    assert_eq!(endpoint.next_request().message.header("x-call-id"), Some(request.id.as_str()));
    assert_eq!(client.read().expect("a response").status(), 200);
}

/// A client disconnects, in each way there is, while its first attempt runs, which may not be cancelled and
/// then fails. Without the check the gateway would retry for nobody. Expected: there is no second attempt.
#[test]
fn makes_no_further_attempt_after_a_disconnect() {
    for kind in disconnect_kinds() {
        let endpoint = ScriptedServer::silent();
        let (gateway, _discovery) = start_with_large_quota(&[endpoint.addr], |config| {
            config["settings"]["ceilings"]["cancel"] = json!(false);
        });
        let client = DisconnectingClient::submit(&gateway, &ClientRequest::new("read"));
        let connection = endpoint.next_request().connection;
        client.disconnect(&gateway, &kind);
        endpoint.set_reply(respond("200 OK", "", ""));
        endpoint.write(connection, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(
            other_request_ids(&gateway, &endpoint, ClientRequest::new("read")),
            [""; 0],
            "{}",
            kind.name
        );
    }
}

/// A client disconnects, in each way there is, while the connection for its attempt is being established.
/// Without a check before the write the request would be sent once the connection is up. Expected: the
/// connection carries the next client's request first.
#[test]
fn never_sends_a_request_that_waited_for_its_connection() {
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
        let first = read_message(&mut BufReader::new(stream)).expect("a request");
        assert_eq!(first.header("x-call-id"), Some(next.id.as_str()), "{}", kind.name);
    }
}
