//! Tests of SIGTERM, after which active requests are answered and the process exits with 0.
use crate::common::*;

/// SIGTERM arrives while one request waits for an endpoint that never responds, one connection is idle, and
/// clients still connect. If the process ended at once, clients would get no response. Expected: the idle
/// connection closes, a late client is served, the waiting client gets 502 although its endpoint never
/// responds, and the process exits with 0.
#[test]
fn sigterm_answers_active_requests_accepts_for_a_while_and_exits_with_0() {
    let endpoint = StubServer::silent();
    let (mut gateway, _discovery) = start_gateway(&[&endpoint]);
    let (mut active, mut idle) = (gateway.client(), gateway.client());
    idle.health_status();
    active.write(&ClientRequest::new("once").text());
    endpoint.next_request();
    gateway.terminate();
    assert!(idle.closes_within(TEST_TIMEOUT), "the idle connection stays open");
    endpoint.set_reply(respond("200 OK", "", ""));
    let late = gateway.client().request(&ClientRequest::new("read"));
    assert_eq!((late.status(), late.header("connection")), (200, Some("close")));
    // The endpoint never responds to the active request, whose deadline is after the time at which SIGKILL
    // may arrive.
    let response = active.read().expect("the gateway responds");
    assert_eq!((response.status(), response.header("connection")), (502, Some("close")));
    assert!(active.closes_within(TEST_TIMEOUT));
    assert!(gateway.wait().success());
}

/// SIGTERM arrives while a request waits for the quota counter, and the client writes another request after
/// it. Without draining, the first would get no response, or the second would be started by a process that
/// is about to end. Expected: the first is served, the second is never read, and the process exits with 0.
#[test]
fn sigterm_finishes_a_request_that_waits_for_the_quota_counter() {
    let endpoint = StubServer::serving("mine");
    let counter = StubServer::silent();
    let (mut gateway, _discovery) = start_gateway_with_quota_counter(&endpoint, &counter);
    let (mut waiting, mut idle) = (gateway.client(), gateway.client());
    idle.health_status();
    let request = || ClientRequest { metering: "units=1,spread=2,first=0", ..ClientRequest::new("once") };
    waiting.write(&request().text());
    let connection = counter.next_request().connection;
    gateway.terminate();
    assert!(idle.closes_within(TEST_TIMEOUT), "the gateway has not handled the signal");
    waiting.write(&request().text());
    counter.write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
    let served = waiting.read().expect("the gateway responds");
    assert_eq!((served.status(), served.header("connection")), (200, Some("close")));
    assert_eq!(served.body, b"mine");
    assert!(waiting.closes_within(TEST_TIMEOUT), "the second request is answered");
    assert!(gateway.wait().success());
    let sent = endpoint.requests_so_far().count();
    assert_eq!(sent, 1);
}
