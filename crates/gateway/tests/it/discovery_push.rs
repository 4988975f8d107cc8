//! Endpoint lists that an agent beside the gateway pushes.
use crate::common::*;
use serde_json::{json, Value};

/// A gateway of a fleet so large that no pause which grows with it would end while a test waits; lists are
/// pushed.
fn start_in_large_pushed_fleet(known: &[&ScriptedServer]) -> (GatewayProcess, DiscoveryAgent) {
    let agent = DiscoveryAgent::start();
    let known: Vec<_> =
        known.iter().enumerate().map(|(n, e)| endpoint_entry(&format!("s-{n}"), e.addr, "up")).collect();
    let mut config = config(agent.addr, &known);
    config["settings"]["discovery"] = json!("pushed");
    config["settings"]["balancers"] = json!(100_000);
    // The time-outs of calls go by the grace: a busy machine must not be taken for a silent agent.
    config["settings"]["rules"]["stopSendingWithinMs"] = json!(2500.0);
    (GatewayProcess::start(&config), agent)
}

/// What the agent has counts as delivered whatever became of the watch, so that the whole list is fetched
/// again at once: after silence, a truncated answer, a reset, a 503 and an unreadable answer alike.
#[test]
fn fetches_a_pushed_list_again_at_once_however_a_call_ends() {
    let (old, new) = (ScriptedServer::serving("old"), ScriptedServer::serving("new"));
    let (gateway, agent) = start_in_large_pushed_fleet(&[&old]);
    let mut rev = 1;
    let call_ends: [fn(&DiscoveryCall); 6] = [
        |_| {},
        |call| call.write("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev\":"),
        DiscoveryCall::break_off,
        |call| call.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
        |call| call.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{\"rev"),
        |call| call.write("noise\r\n\r\n"),
    ];
    for end_call in call_ends {
        // Both the call for the whole list and the watch may end like this.
        end_call(&agent.next_call_for_complete_list());
        rev += 1;
        end_call(&agent.answer_until_watch(&complete_list(rev, &[endpoint_entry("s-0", old.addr, "up")])));
    }
    agent.answer_until_watch(&complete_list(
        rev + 1,
        &[endpoint_entry("s-0", old.addr, "draining"), endpoint_entry("s-1", new.addr, "up")],
    ));
    for _ in 0..4 {
        assert_eq!(gateway.client().request(&ClientRequest::new("read")).body, b"new");
    }
    assert!(old.has_received_nothing(), "nothing came to the drained endpoint");
}

/// The list that a new process is started with may be old, and changes count from its first moment.
#[test]
fn a_new_process_fetches_the_complete_list_before_it_watches() {
    let (old, new) = (ScriptedServer::serving("old"), ScriptedServer::serving("new"));
    let (gateway, agent) = start_in_large_pushed_fleet(&[&old]);
    // Lists may come indented.
    let list = complete_list(9, &[endpoint_entry("s-1", new.addr, "up")]);
    let text = serde_json::to_string_pretty(&list).expect("a list");
    agent
        .next_call_for_complete_list()
        .write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len()));
    agent.answer_until_watch(&list);
    assert_eq!(gateway.client().request(&ClientRequest::new("read")).body, b"new");
    assert!(old.has_received_nothing(), "nothing came to the endpoint that has gone");
}

/// An overtaken change would undo a drain. Only a whole list, requested as such, may restart the versions.
#[test]
fn ignores_changes_of_an_older_version_and_fetches_the_complete_list() {
    let (old, new) = (ScriptedServer::serving("old"), ScriptedServer::serving("new"));
    let (gateway, agent) = start_in_large_pushed_fleet(&[]);
    let known = complete_list(
        7,
        &[endpoint_entry("s-0", old.addr, "draining"), endpoint_entry("s-1", new.addr, "up")],
    );
    let back = [endpoint_entry("s-0", old.addr, "up"), endpoint_entry("s-1", new.addr, "removed")];
    let lists: [fn(u64, &[Value]) -> Value; 2] = [changes, complete_list];
    for list in lists {
        agent.answer_until_watch(&known).answer(&list(6, &back));
        agent.next_call_for_complete_list();
        assert_eq!(gateway.client().request(&ClientRequest::new("read")).body, b"new");
    }
    assert!(old.has_received_nothing(), "nothing came to the drained endpoint");
    // Versions that have restarted are followed.
    agent.answer_until_watch(&complete_list(2, &[endpoint_entry("s-0", old.addr, "up")]));
    assert_eq!(gateway.client().request(&ClientRequest::new("read")).body, b"old");
}
