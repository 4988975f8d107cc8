//! Endpoint lists that an agent beside the gateway pushes.
use crate::common::*;
use serde_json::{json, Value};

/// A gateway of a fleet so large that no pause which grows with it would end while a test waits; lists are
/// pushed.
fn start_in_large_pushed_fleet(known: &[&ScriptedServer]) -> (GatewayProcess, ConcurrentDiscovery) {
    let agent = ConcurrentDiscovery::start();
    let known: Vec<_> =
        known.iter().enumerate().map(|(n, e)| endpoint_entry(&format!("s-{n}"), e.addr, "up")).collect();
    let mut config = config(agent.addr, &known);
    config["settings"]["discovery"] = json!("pushed");
    config["settings"]["balancers"] = json!(100_000);
    // The time-outs of calls go by the grace: a busy machine must not be taken for a silent agent.
    config["settings"]["rules"]["stopSendingWithinMs"] = json!(2500.0);
    (GatewayProcess::start(&config), agent)
}

/// The agent on the gateway's machine has a change, but the call that would deliver it ends without a
/// response, truncated, with a reset, with a 503, or unreadable. The change counts as delivered from the
/// moment the agent has it, so a backoff that grows with the fleet would let the gateway send to a draining
/// endpoint. Expected: after each, the complete list is fetched at once.
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
        // Both the call for the complete list and the watch may end like this.
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

/// A process starts with a cached list whose endpoint has gone since. Changes count from its first moment,
/// and a watch from the cached revision would not name what changed before. Expected: it fetches the
/// complete list first, also if that is indented, and sends nothing to the endpoint that has gone.
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

/// A response of an older revision arrives, in which a draining endpoint is still ready. Applied, it would
/// undo the drain. Expected: it is ignored and the complete list is fetched; only that may restart the
/// revisions.
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
