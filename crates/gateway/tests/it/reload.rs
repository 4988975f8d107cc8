//! Tests of SIGHUP, which applies a new configuration without a restart.
use crate::common::*;
use serde_json::json;
use std::net::{Ipv4Addr, TcpListener};

/// SIGHUP gives discovery a new address while a call to the old one is unanswered: first the gateway's first
/// call, and later a watch call. If the gateway finished that call first, it could wait for a discovery that
/// never responds, and an unhandled SIGHUP would end the process. Expected: the gateway calls the new
/// address, the list in use stays in use until the new discovery responds, and the old discovery gets no
/// further call.
///
/// Before the last address, the test also reloads an invalid file and an address that refuses connections.
/// The gateway may miss these, because it merges signals that arrive while it reads the file.
#[test]
fn sighup_moves_the_watch_to_the_new_address_and_keeps_serving() {
    let endpoint = StubServer::serving("old");
    let (gateway, first) = start_gateway(&[&endpoint]);
    first.next_call();
    let to = |addr| config(addr, &[]).to_string();
    // The first discovery has received a call and has not answered any.
    let second = SequentialDiscovery::start();
    gateway.reload(&to(second.addr));
    assert_eq!(second.next_call(), "GET /v1/servers HTTP/1.1");
    assert_eq!(gateway.client().request(&ClientRequest::new("read")).body, b"old");
    second.answer(complete_list(7, &[endpoint_entry("s-0", endpoint.addr, "up")]));
    assert!(second.next_call().contains("after=7"));
    // If the gateway reads them, neither an invalid file nor a file with the same address ends the call in
    // progress.
    gateway.reload("{");
    gateway.reload(&to(second.addr));
    // Nothing listens at the next address. If the gateway reads it, the connection fails, and the last
    // address may arrive in the pause before the next call.
    let unused_addr = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .and_then(|l| l.local_addr())
        .expect("bind a loopback port");
    gateway.reload(&to(unused_addr));
    let new = StubServer::serving("new");
    let last = SequentialDiscovery::start();
    gateway.reload(&to(last.addr));
    assert_eq!(last.next_call(), "GET /v1/servers HTTP/1.1");
    assert_eq!(gateway.client().request(&ClientRequest::new("read")).body, b"old");
    last.answer(complete_list(2, &[endpoint_entry("s-1", new.addr, "up")]));
    assert!(last.next_call().contains("after=2"));
    assert_eq!(gateway.client().request(&ClientRequest::new("read")).body, b"new");
    assert!(second.has_no_call(), "the previous address received a call");
}

/// SIGHUP gives the quota counter a new address while a call to the old one is in progress. If that call
/// were dropped, its request would lose the units that it had requested. Expected: the call finishes and its
/// request is served, further calls go to the new address, and the old connection closes.
#[test]
fn sighup_moves_the_quota_counter_and_finishes_the_call_in_progress() {
    let endpoint = StubServer::serving("");
    let (old, new) = (StubServer::silent(), StubServer::serving("1"));
    let discovery = SequentialDiscovery::start();
    let mut config = config(discovery.addr, &[endpoint_entry("s-0", endpoint.addr, "up")]);
    use_quota_counter(&mut config, old.addr);
    let gateway = GatewayProcess::start(&config);
    let mut waiting = gateway.client();
    let text = |customer| {
        ClientRequest { customer, metering: "units=1,spread=2,first=0", ..ClientRequest::new("read") }.text()
    };
    waiting.write(&text("00000000b4d65521"));
    let connection = old.next_request().connection;
    config["counter"] = json!(new.addr.to_string());
    gateway.reload(&config.to_string());
    // The gateway may handle the signal with a delay, so requests are sent until one reaches the new counter.
    let mut customers = (1..).map(|n| format!("{n:016x}"));
    while new.has_received_nothing_more() {
        let mut client = gateway.client();
        client.write(&text(customers.next().expect("the numbers do not run out").leak()));
        std::thread::yield_now();
    }
    old.write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
    assert_eq!(waiting.read().expect("the gateway responds").status(), 200);
    assert_eq!(old.next_close(), connection, "another connection was closed");
}
