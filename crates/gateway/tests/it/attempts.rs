//! How attempts end, and which may be made again.
use crate::common::*;
use std::net::{Ipv4Addr, TcpListener};

/// An endpoint responds with 503 to a request that must not run twice. Only with `X-Rejected: 1` is it
/// certain that it never ran. If a plain 503 counted the same, the client would send it again and it could
/// run twice. Expected: a rejection with the mark, a failure without it.
#[test]
fn only_a_marked_rejection_proves_that_a_non_idempotent_request_never_ran() {
    for (headers, harmless) in [("X-Rejected: 1\r\n", true), ("", false)] {
        let endpoint = ScriptedServer::start(respond("503 Service Unavailable", headers, ""));
        let (gateway, _discovery) = start_gateway(&[&endpoint]);
        let status = gateway.client().request(&ClientRequest::new("once")).status();
        assert_eq!(status == 503 || status == 429, harmless, "answered {status}");
    }
}

/// The connection of an attempt breaks after the request was written. It may have run, and a retry could
/// run it twice. Expected: 502, and only one endpoint has received it.
#[test]
fn fails_a_non_idempotent_request_whose_connection_broke() {
    let endpoints = [ScriptedServer::start(Reply::Close), ScriptedServer::start(Reply::Close)];
    let (gateway, _discovery) = start_gateway(&[&endpoints[0], &endpoints[1]]);
    assert_eq!(gateway.client().request(&ClientRequest::new("once")).status(), 502);
    let sent = endpoints.iter().flat_map(ScriptedServer::requests_so_far).count();
    assert_eq!(sent, 1);
}

/// Nothing listens at the only endpoint's address. The request never ran, and a failure would make the
/// client believe that it may have. Expected: 503.
#[test]
fn a_request_that_found_no_connection_is_rejected_as_never_run() {
    // Nobody listens at a port that was bound and closed.
    let gone = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|l| l.local_addr()).expect("a port");
    let discovery = SequentialDiscovery::start();
    let gateway = GatewayProcess::start(&config(discovery.addr, &[endpoint_entry("s-0", gone, "up")]));
    assert_eq!(gateway.client().request(&ClientRequest::new("once")).status(), 503);
}

/// An endpoint accepts a request and never responds. Without the deadline, client and endpoint connection
/// would wait for ever. Expected: 502 by the deadline, the attempt's connection closes, and the client's
/// connection carries its next request.
#[test]
fn a_silent_endpoint_does_not_delay_a_request_past_its_deadline() {
    let endpoint = ScriptedServer::silent();
    let (gateway, _discovery) = start_gateway(&[&endpoint]);
    let mut client = gateway.client();
    let served = client.request(&ClientRequest { budget: "3.0", ..ClientRequest::new("once") });
    assert_eq!(served.status(), 502);
    // Its attempt ends with it, by closing the connection; and the client's connection carries the next one.
    endpoint.next_close();
    endpoint.set_reply(respond("200 OK", "", ""));
    assert_eq!(client.request(&ClientRequest::new("read")).status(), 200);
}
