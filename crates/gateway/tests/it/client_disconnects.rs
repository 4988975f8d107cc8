//! Clients that disconnect while their request is active: its attempt ends, or it is never sent.
use crate::common::*;
use serde_json::json;
use std::io::BufReader;
use std::time::{Duration, Instant};

/// A client disconnects while its request is at an endpoint. Without cancellation, the endpoint would work
/// for nobody. Expected: the attempt's connection closes.
#[test]
fn cancels_the_attempt_of_a_client_that_disconnects() {
    let endpoint = ScriptedServer::silent();
    let (gateway, _discovery) = start_gateway(&[&endpoint]);
    let mut client = gateway.client();
    client.write(&ClientRequest::new("read").text());
    let connection = endpoint.next_request().connection;
    drop(client);
    assert_eq!(endpoint.next_close(), connection);
}

/// A client disconnects after it has written more bytes behind its request: a few, another request, or a
/// flood. hyper does not read them before the response, and the unread bytes hide the disconnect, so that
/// the endpoint would work for nobody until the budget ends. Expected: the attempt's connection closes long
/// before that.
#[test]
fn cancels_the_attempt_when_more_bytes_follow_the_request() {
    let endpoint = ScriptedServer::silent();
    let (gateway, _discovery) = start_gateway(&[&endpoint]);
    for behind in ["x".to_string(), ClientRequest::new("read").text(), "noise\r\n".repeat(20_000)] {
        let start = Instant::now();
        let mut client = gateway.client();
        client.write(&ClientRequest { budget: "20.0", ..ClientRequest::new("read") }.text());
        let connection = endpoint.next_request().connection;
        client.write(&behind);
        drop(client);
        assert_eq!(endpoint.next_close(), connection);
        // Its time is 20 s: the attempt ended because of the client.
        assert!(start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());
    }
}

/// A client disconnects while its request waits for the quota counter, whose response is delayed until the
/// gateway has noticed. Without the check the request would be sent once the counter permits it, and run
/// for nobody. Expected: it is never sent.
#[test]
fn never_sends_a_request_whose_client_disconnected_during_its_quota_check() {
    let endpoint = ScriptedServer::serving("");
    let counter = ScriptedServer::silent();
    let (gateway, _discovery) = start_gateway_with_counter(&endpoint, &counter);
    let request = || ClientRequest { metering: "units=1,spread=2,first=0", ..ClientRequest::new("once") };
    let mut client = gateway.client();
    client.write(&request().text());
    let connection = counter.next_request().connection;
    client.disconnect(&gateway);
    (0..5).for_each(|_| assert_eq!(gateway.client().health_status(), 200));
    counter.set_reply(respond("200 OK", "", "1"));
    counter.write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
    // The next customer's request passes; that it comes first shows that the other was not sent.
    let next = ClientRequest { customer: "0000000000000007", ..request() };
    assert_eq!(gateway.client().request(&next).status(), 200);
    assert_eq!(endpoint.next_request().message.header("x-call-id"), Some(next.id.as_str()));
}

/// A client disconnects while the connection for its attempt is being established, where the settings
/// forbid cancelling. Without a check before the write, the request would be sent once the connection is
/// up, and run for nobody. Expected: the connection carries the next client's request first.
#[test]
fn never_sends_a_request_whose_client_disconnected_before_its_connection_was_up() {
    let listener = FullBacklogListener::start();
    let discovery = SequentialDiscovery::start();
    let mut config = config(discovery.addr, &[endpoint_entry("s-0", listener.addr(), "up")]);
    config["settings"]["ceilings"]["cancel"] = json!(false);
    config["settings"]["ceilings"]["connectTimeoutMs"] = json!(25_000.0);
    let gateway = GatewayProcess::start(&config);
    let mut client = gateway.client();
    client.write(&ClientRequest::new("once").text());
    (0..5).for_each(|_| assert_eq!(gateway.client().health_status(), 200));
    client.disconnect(&gateway);
    (0..5).for_each(|_| assert_eq!(gateway.client().health_status(), 200));
    // The gateway's connection comes up now, when its handshake is next repeated.
    let stream = listener.accept();
    // The next request goes over it, and is the first that comes.
    let next = ClientRequest::new("once");
    let mut other = gateway.client();
    other.write(&next.text());
    let first = read_message(&mut BufReader::new(stream)).expect("a request");
    assert_eq!(first.header("x-call-id"), Some(next.id.as_str()));
}
