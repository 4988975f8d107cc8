//! Clients that disconnect while their request is active: its attempt ends, or it is never sent.
use crate::common::*;
use serde_json::json;
use std::io::BufReader;
use std::time::{Duration, Instant};

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

/// Bytes behind a request are not read before its response, and would hide that the client has left.
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

/// The counter's reply is held back until the gateway has seen the close.
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

/// Its attempt waits for its connection, where attempts may not be cancelled.
#[test]
fn never_sends_a_request_whose_client_disconnected_before_its_connection_was_up() {
    let listener = LateListener::start();
    let discovery = Discovery::start();
    let mut config = config(discovery.addr, &[endpoint_entry("s-0", listener.addr(), "up")]);
    config["settings"]["ceilings"]["cancel"] = json!(false);
    config["settings"]["ceilings"]["connectTimeoutMs"] = json!(25_000.0);
    let gateway = GatewayProcess::start(&config);
    let mut client = gateway.client();
    client.write(&ClientRequest::new("once").text());
    (0..5).for_each(|_| assert_eq!(gateway.client().health_status(), 200));
    client.disconnect(&gateway);
    (0..5).for_each(|_| assert_eq!(gateway.client().health_status(), 200));
    // The gateway's connection comes up now, by the next of its tries.
    let stream = listener.accept();
    // The next request goes over it, and is the first that comes.
    let next = ClientRequest::new("once");
    let mut other = gateway.client();
    other.write(&next.text());
    let first = read_message(&mut BufReader::new(stream)).expect("a request");
    assert_eq!(first.header("x-call-id"), Some(next.id.as_str()));
}
