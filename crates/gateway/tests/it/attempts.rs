//! Tests of how attempts end, and of which requests may be retried.
use crate::common::*;
use std::net::{Ipv4Addr, TcpListener};

/// An endpoint responds with 503 to a request that must not run twice. Only with `X-Rejected: 1` is it
/// certain that the request never ran. If a plain 503 counted the same, the client would send the request
/// again and it could run twice. Expected: the gateway responds with a rejection (503 or 429) if the header
/// is present, and with another status if it is absent.
#[test]
fn only_x_rejected_proves_that_a_non_idempotent_request_never_ran() {
    for (headers, never_ran) in [("X-Rejected: 1\r\n", true), ("", false)] {
        let endpoint = StubServer::start(respond("503 Service Unavailable", headers, ""));
        let (gateway, _discovery) = start_gateway(&[&endpoint]);
        let status = gateway.client().request(&ClientRequest::new("once")).status();
        assert_eq!(
            status == 503 || status == 429,
            never_ran,
            "{headers:?}: the gateway responded with {status}"
        );
    }
}

/// The connection of an attempt breaks after the request was written. The request may have run, and a retry
/// could run it twice. Expected: 502, and only one endpoint has received the request.
#[test]
fn fails_a_non_idempotent_request_whose_connection_broke() {
    let endpoints = [StubServer::start(Reply::Close), StubServer::start(Reply::Close)];
    let (gateway, _discovery) = start_gateway(&[&endpoints[0], &endpoints[1]]);
    assert_eq!(gateway.client().request(&ClientRequest::new("once")).status(), 502);
    let sent = endpoints.iter().flat_map(StubServer::requests_so_far).count();
    assert_eq!(sent, 1);
}

/// Nothing listens at the only endpoint's address. The request never ran, but a failure (502) would mean that
/// it may have. Expected: a rejection with 503.
#[test]
fn rejects_a_request_if_no_connection_can_be_established() {
    // Nothing listens at a port that was bound and closed.
    let unused_addr = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .and_then(|l| l.local_addr())
        .expect("bind a loopback port");
    let discovery = SequentialDiscovery::start();
    let gateway = GatewayProcess::start(&config(discovery.addr, &[endpoint_entry("s-0", unused_addr, "up")]));
    assert_eq!(gateway.client().request(&ClientRequest::new("once")).status(), 503);
}

/// An endpoint receives a request and never responds. Without the deadline, the client and the attempt would
/// wait forever. Expected: the request ends with 502, the attempt's connection closes, and the client's
/// connection carries the next request.
#[test]
fn fails_a_request_whose_endpoint_does_not_respond() {
    let endpoint = StubServer::silent();
    let (gateway, _discovery) = start_gateway(&[&endpoint]);
    let mut client = gateway.client();
    let response = client.request(&ClientRequest { budget: "3.0", ..ClientRequest::new("once") });
    assert_eq!(response.status(), 502);
    // The attempt ends with the request, which closes its connection. The client's connection stays open.
    endpoint.next_close();
    endpoint.set_reply(respond("200 OK", "", ""));
    assert_eq!(client.request(&ClientRequest::new("read")).status(), 200);
}
