//! Tests of endpoint lists that discovery pushes through an agent on the gateway's machine.
use crate::common::*;
use serde_json::{json, Value};
use std::time::Duration;

/// Starts a gateway with pushed lists in a fleet of 100 000 gateways. If a pause grew with the fleet, it
/// would not end while a test waits.
fn start_in_large_fleet_with_pushed_lists(known: &[&StubServer]) -> (GatewayProcess, ConcurrentDiscovery) {
    let discovery = ConcurrentDiscovery::start();
    let known: Vec<_> =
        known.iter().enumerate().map(|(n, e)| endpoint_entry(&format!("s-{n}"), e.addr, "up")).collect();
    let mut config = config(discovery.addr, &known);
    config["settings"]["discovery"] = json!("pushed");
    config["settings"]["balancers"] = json!(100_000);
    // The timeouts of calls to discovery are fractions of the drain grace. A longer grace keeps a busy
    // machine from being taken for a discovery that does not respond.
    config["settings"]["rules"]["stopSendingWithinMs"] = json!(2500.0);
    (GatewayProcess::start(&config), discovery)
}

/// The agent on the gateway's machine has a change, but the call that would deliver it gets no response, or
/// one that is truncated, malformed or a 503, or its connection breaks. The gateway counts as notified as
/// soon as the agent has the change, so a backoff that grows with the fleet would let the gateway send to a
/// draining endpoint. Expected: after each failure, the complete list is fetched without a pause that grows
/// with the fleet.
#[test]
fn fetches_the_pushed_list_without_a_long_pause_after_a_failed_call() {
    let (old, new) = (StubServer::serving("old"), StubServer::serving("new"));
    let (gateway, discovery) = start_in_large_fleet_with_pushed_lists(&[&old]);
    let mut rev = 1;
    let call_ends: [fn(&DiscoveryCall); 6] = [
        |_| {},
        |call| call.write("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev\":"),
        DiscoveryCall::break_connection,
        |call| call.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
        |call| call.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{\"rev"),
        |call| call.write("noise\r\n\r\n"),
    ];
    for end_call in call_ends {
        // Both the call for the complete list and the watch end this way.
        end_call(&discovery.next_call_for_complete_list());
        rev += 1;
        end_call(
            &discovery.answer_until_watch(&complete_list(rev, &[endpoint_entry("s-0", old.addr, "up")])),
        );
    }
    discovery.answer_until_watch(&complete_list(
        rev + 1,
        &[endpoint_entry("s-0", old.addr, "draining"), endpoint_entry("s-1", new.addr, "up")],
    ));
    for _ in 0..4 {
        assert_eq!(gateway.client().request(&ClientRequest::new("read")).body, b"new");
    }
    assert!(old.has_received_nothing_more(), "the draining endpoint received something");
}

/// A gateway with pushed lists starts with an initial list whose endpoint has been removed since. The drain
/// grace of a change starts when the agent has the change, so the gateway must act on changes from its start
/// on. Expected: the gateway fetches the complete list before it watches, parses it although it is indented,
/// and sends nothing to the removed endpoint.
#[test]
fn with_pushed_lists_a_new_process_fetches_the_complete_list_first() {
    let (old, new) = (StubServer::serving("old"), StubServer::serving("new"));
    let (gateway, discovery) = start_in_large_fleet_with_pushed_lists(&[&old]);
    // The JSON of a list may be indented.
    let list = complete_list(9, &[endpoint_entry("s-1", new.addr, "up")]);
    let text = serde_json::to_string_pretty(&list).expect("serialize the list");
    discovery
        .next_call_for_complete_list()
        .write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len()));
    discovery.answer_until_watch(&list);
    assert_eq!(gateway.client().request(&ClientRequest::new("read")).body, b"new");
    assert!(old.has_received_nothing_more(), "the removed endpoint received something");
}

/// A response with an older revision arrives, in which a draining endpoint is still ready. If it were
/// applied, the gateway would send to that endpoint again. Expected: the response to a watch is ignored, even
/// if it is a complete list, and the complete list is fetched; only the response to that call may restart the
/// revisions.
#[test]
fn ignores_an_older_revision_and_fetches_the_complete_list() {
    let (old, new) = (StubServer::serving("old"), StubServer::serving("new"));
    let (gateway, discovery) = start_in_large_fleet_with_pushed_lists(&[]);
    let known = complete_list(
        7,
        &[endpoint_entry("s-0", old.addr, "draining"), endpoint_entry("s-1", new.addr, "up")],
    );
    let back = [endpoint_entry("s-0", old.addr, "up"), endpoint_entry("s-1", new.addr, "removed")];
    let lists: [fn(u64, &[Value]) -> Value; 2] = [changes, complete_list];
    for list in lists {
        discovery.answer_until_watch(&known).answer(&list(6, &back));
        discovery.next_call_for_complete_list();
        assert_eq!(gateway.client().request(&ClientRequest::new("read")).body, b"new");
    }
    assert!(old.has_received_nothing_more(), "the draining endpoint received something");
    // The response to a call for the complete list is applied although its revision is lower, because
    // discovery may have restarted its revisions.
    discovery.answer_until_watch(&complete_list(2, &[endpoint_entry("s-0", old.addr, "up")]));
    assert_eq!(gateway.client().request(&ClientRequest::new("read")).body, b"old");
}

/// The agent's response to a watch arrives a second time, 2 ms late. If the copy were taken for the response to the
/// next watch, the connection would stay one response behind, and each list would be taken for newer than it is.
/// Expected: the copy answers no call; the gateway opens another connection and fetches the complete list.
#[test]
fn late_copy_of_a_list_answers_no_watch() {
    let endpoint = StubServer::serving("");
    let (_gateway, discovery) = start_in_large_fleet_with_pushed_lists(&[]);
    let list = complete_list(7, &[endpoint_entry("s-0", endpoint.addr, "up")]);
    let mut watch = discovery.answer_until_watch(&list);
    // The revision stays, so that a watch that gets the copy can't recognize it as old.
    while !watch.answer_with_late_copy(&list, Duration::from_millis(2)) {
        watch = discovery.answer_until_watch(&list);
    }
    let call = discovery.next_call();
    assert!(call.is_for_complete_list(), "the copy answered a watch: {}", call.request_line);
}
