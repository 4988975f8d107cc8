//! SIGHUP: a new configuration takes effect without a restart.
use crate::common::*;
use serde_json::json;
use std::net::{Ipv4Addr, TcpListener};

/// SIGHUP gives discovery a new address while the old one delays a call, has not responded yet, or refuses
/// connections, and once with a file that cannot be used. A watch that finished its call first would follow
/// a discovery that may never respond, and an unhandled SIGHUP would end the process. Expected: the watch
/// calls the new address at once, and requests are served by the cached list until it responds.
#[test]
fn sighup_moves_the_watch_to_the_new_address_and_serves_by_the_old_list_meanwhile() {
    let endpoint = ScriptedServer::serving("old");
    let (gateway, first) = start_gateway(&[&endpoint]);
    first.next_call();
    let to = |addr| config(addr, &[]).to_string();
    // During a call, and before any answer.
    let second = SequentialDiscovery::start();
    gateway.reload(&to(second.addr));
    assert_eq!(second.next_call(), "GET /v1/servers HTTP/1.1");
    assert_eq!(gateway.client().request(&ClientRequest::new("read")).body, b"old");
    second.push(complete_list(7, &[endpoint_entry("s-0", endpoint.addr, "up")]));
    assert!(second.next_call().contains("after=7"));
    // Neither a file that cannot be read nor the same one again ends the call.
    gateway.reload("{");
    gateway.reload(&to(second.addr));
    // To an address where nobody listens, and from the pauses there on to the last.
    let nobody = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|l| l.local_addr()).expect("a port");
    gateway.reload(&to(nobody));
    let new = ScriptedServer::serving("new");
    let last = SequentialDiscovery::start();
    gateway.reload(&to(last.addr));
    assert_eq!(last.next_call(), "GET /v1/servers HTTP/1.1");
    assert_eq!(gateway.client().request(&ClientRequest::new("read")).body, b"old");
    last.push(complete_list(2, &[endpoint_entry("s-1", new.addr, "up")]));
    assert!(last.next_call().contains("after=2"));
    assert_eq!(gateway.client().request(&ClientRequest::new("read")).body, b"new");
    assert!(second.has_no_call(), "no call to the previous address");
}

/// SIGHUP gives the quota counter a new address while a call to the old one is in progress. If that call
/// were dropped, its request would lose the units it requested. Expected: the call is finished and its
/// request served, further calls go to the new address, and the old connection closes.
#[test]
fn sighup_moves_the_counter_and_finishes_a_call_at_the_old_one() {
    let endpoint = ScriptedServer::serving("");
    let (old, new) = (ScriptedServer::silent(), ScriptedServer::serving("1"));
    let discovery = SequentialDiscovery::start();
    let mut config = config(discovery.addr, &[endpoint_entry("s-0", endpoint.addr, "up")]);
    use_counter(&mut config, old.addr);
    let gateway = GatewayProcess::start(&config);
    let mut waiting = gateway.client();
    let text = |customer| {
        ClientRequest { customer, metering: "units=1,spread=2,first=0", ..ClientRequest::new("read") }.text()
    };
    waiting.write(&text("00000000b4d65521"));
    let connection = old.next_request().connection;
    config["counter"] = json!(new.addr.to_string());
    gateway.reload(&config.to_string());
    // The signal may take a moment.
    let mut customers = (1..).map(|n| format!("{n:016x}"));
    while new.has_received_nothing() {
        let mut client = gateway.client();
        client.write(&text(customers.next().expect("a number").leak()));
        std::thread::yield_now();
    }
    old.write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
    assert_eq!(waiting.read().expect("a response").status(), 200);
    assert_eq!(old.next_close(), connection, "nothing more goes there");
}
