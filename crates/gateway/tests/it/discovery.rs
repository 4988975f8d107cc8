//! Tests of endpoint lists that the gateway fetches from discovery.
use crate::common::*;
use serde_json::json;

/// A gateway without endpoints cannot serve, and a load balancer that sent requests to it would lose them.
/// Expected: health checks fail until discovery lists a ready endpoint; an invalid entry in the same list has
/// no effect.
#[test]
fn health_checks_fail_until_a_ready_endpoint_is_known() {
    let endpoint = StubServer::serving("");
    let (gateway, discovery) = start_gateway(&[]);
    assert_eq!(gateway.client().health_status(), 503);
    assert_eq!(discovery.next_call(), "GET /v1/servers HTTP/1.1");
    discovery.answer(complete_list(4, &[endpoint_entry("s-0", endpoint.addr, "up"), json!({"uid": 5})]));
    assert!(discovery.next_call().starts_with("GET /v1/servers?after=4&wait_ms="));
    assert_eq!(gateway.client().health_status(), 200);
}

/// The connection to discovery breaks, and a later response cannot be parsed. What changed meanwhile is
/// unknown. Expected: the complete list is fetched after both failed calls, and the list in use stays in use
/// until it arrives.
#[test]
fn fetches_the_complete_list_after_a_failed_call_and_serves_meanwhile() {
    let endpoint = StubServer::serving("");
    let (gateway, discovery) = start_gateway(&[&endpoint]);
    discovery.next_call();
    discovery.answer(complete_list(4, &[endpoint_entry("s-0", endpoint.addr, "up")]));
    assert!(discovery.next_call().contains("after=4"));
    discovery.break_connection();
    assert_eq!(discovery.next_call(), "GET /v1/servers HTTP/1.1");
    assert_eq!(gateway.client().request(&ClientRequest::new("read")).status(), 200);
    // A call whose list cannot be parsed has failed too.
    discovery.answer(json!({"rev": "?"}));
    assert_eq!(discovery.next_call(), "GET /v1/servers HTTP/1.1");
    assert_eq!(gateway.client().request(&ClientRequest::new("read")).status(), 200);
}

/// An overloaded discovery responds with 503. If each gateway then requested the complete list, discovery
/// would have to write it for every gateway and stay overloaded. Expected: the watch continues from the
/// revision of the list in use.
#[test]
fn watches_from_the_current_revision_after_503() {
    let endpoint = StubServer::serving("");
    let (_gateway, discovery) = start_gateway(&[&endpoint]);
    // The initial list has revision 1.
    assert!(discovery.next_call().starts_with("GET /v1/servers?after=1&wait_ms="));
    discovery.reject();
    assert!(discovery.next_call().starts_with("GET /v1/servers?after=1&wait_ms="));
    discovery.answer(changes(6, &[]));
    assert!(discovery.next_call().starts_with("GET /v1/servers?after=6&wait_ms="));
    discovery.reject();
    assert!(discovery.next_call().starts_with("GET /v1/servers?after=6&wait_ms="));
}

/// An endpoint is draining while the gateway has an idle connection to it. A draining endpoint waits for its
/// connections to close, and would reject or lose a request on one. Expected: the connection closes, and all
/// requests go to the other endpoint.
#[test]
fn closes_idle_connections_to_a_draining_endpoint_and_stops_sending() {
    let (old, new) = (StubServer::serving("old"), StubServer::serving("new"));
    let discovery = ConcurrentDiscovery::start();
    let known = endpoint_entry("s-0", old.addr, "up");
    let gateway = GatewayProcess::start(&config(discovery.addr, &[known]));
    let mut client = gateway.client();
    assert_eq!(client.request(&ClientRequest::new("read")).body, b"old");
    old.next_request();
    let list = complete_list(
        2,
        &[endpoint_entry("s-0", old.addr, "draining"), endpoint_entry("s-1", new.addr, "up")],
    );
    // On a busy machine the first call may have timed out, and its answer is lost.
    discovery.next_call().answer(&list);
    let _watch = discovery.answer_until_watch(&list);
    old.next_close();
    for _ in 0..4 {
        assert_eq!(client.request(&ClientRequest::new("read")).body, b"new");
    }
    assert!(old.has_received_nothing_more(), "the draining endpoint received something");
}
