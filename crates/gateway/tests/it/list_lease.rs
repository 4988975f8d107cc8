//! The lease of the endpoint list: how long the gateway sends by a list that discovery does not confirm.
use crate::common::*;
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// By then a list that was not confirmed has expired.
const LEASE: Duration = Duration::from_millis(6500);
const LEASE_AFTER_RELOAD: Duration = Duration::from_millis(4500);

fn up(endpoint: &ScriptedServer) -> Value {
    endpoint_entry("s-0", endpoint.addr, "up")
}

/// A request that could be served is not, and none is sent while it waits.
fn assert_serves_nothing(gateway: &GatewayProcess, endpoint: &ScriptedServer) {
    let request = ClientRequest { budget: "3.000", ..ClientRequest::new("read") };
    assert_ne!(gateway.client().request(&request).status(), 200);
    while let Ok(received) = endpoint.received.try_recv() {
        assert!(!matches!(received, Received::Request(..)), "{received:?}");
    }
}

/// Discovery is up and each call ends like this: the gateway sends for a while and then no more, and a
/// request that waits is served once there is a list, even one without changes.
fn assert_sends_nothing_while_calls_end(end_call: fn(DiscoveryCall)) {
    let (endpoint, agent) = (ScriptedServer::serving(""), ConcurrentDiscovery::start());
    let gateway = GatewayProcess::start(&config(agent.addr, &[up(&endpoint)]));
    let start = Instant::now();
    end_call(agent.next_call());
    assert_eq!(gateway.client().request(&ClientRequest::new("read")).status(), 200);
    endpoint.next_request();
    while start.elapsed() < LEASE {
        end_call(agent.next_call());
    }
    assert_serves_nothing(&gateway, &endpoint);
    let mut client = gateway.client();
    client.write(&ClientRequest::new("read").text());
    // Some of its calls may have timed out by now, so that each one is answered.
    let known = up(&endpoint);
    std::thread::spawn(move || loop {
        let call = agent.next_call();
        let is_complete = call.is_for_complete_list();
        call.answer(&if is_complete {
            complete_list(1, std::slice::from_ref(&known))
        } else {
            changes(1, &[])
        });
        sleep(Duration::from_millis(20));
    });
    assert_eq!(client.read().expect("a response").status(), 200);
    endpoint.next_request();
    assert_eq!(client.request(&ClientRequest::new("read")).status(), 200);
}

/// Discovery answers every call with 503 for longer than a lease. The 503 may come from a proxy in front of
/// a discovery that is down, and a gateway that expired its list then would reject everything in an outage.
/// Expected: rejections renew the lease, and requests are served. (That they do not renew it for ever is
/// checked by the unit tests of the lease.)
#[test]
fn goes_on_sending_while_discovery_answers_503() {
    let (endpoint, agent) = (ScriptedServer::serving(""), ConcurrentDiscovery::start());
    let gateway = GatewayProcess::start(&config(agent.addr, &[up(&endpoint)]));
    let start = Instant::now();
    while start.elapsed() < LEASE {
        let call = agent.next_call();
        assert!(!call.is_for_complete_list());
        call.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }
    assert_eq!(gateway.client().request(&ClientRequest::new("read")).status(), 200);
    endpoint.next_request();
}

/// Discovery accepts calls but never responds, so that an endpoint may be draining without the gateway
/// being notified. A gateway that went on with its list would send to it for ever. Expected: it sends by
/// its list until the lease expires, then nothing, and again once a list arrives.
#[test]
fn stops_sending_when_the_lease_expires_on_silent_calls() {
    assert_sends_nothing_while_calls_end(drop);
}

/// The same where discovery resets each call: something is reached, so this is no outage, and the lease
/// must expire.
#[test]
fn stops_sending_when_the_lease_expires_on_reset_calls() {
    assert_sends_nothing_while_calls_end(|call| call.break_off());
}

/// Nothing listens at discovery's address for longer than a lease, and then discovery returns with another
/// list. No change is published in an outage, and a gateway that expired its list would reject everything
/// for nothing. Expected: it sends by the cached list during the outage, and by the new list at once after
/// it.
#[test]
fn goes_on_sending_by_the_last_list_while_discovery_is_unreachable() {
    let endpoint = ScriptedServer::serving("");
    // Bound, so that nobody else listens there, and not listening.
    let port = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    port.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a port");
    let addr = port.local_addr().expect("bound").as_socket().expect("an address");
    let gateway = GatewayProcess::start(&config(addr, &[up(&endpoint)]));
    sleep(LEASE);
    let mut client = gateway.client();
    assert_eq!(client.request(&ClientRequest::new("read")).status(), 200);
    endpoint.next_request();
    // What it has at its return is applied: the endpoint is gone.
    port.listen(16).expect("a listener");
    let agent = ConcurrentDiscovery::start_on(port.into());
    agent.answer_until_watch(&complete_list(2, &[]));
    assert_serves_nothing(&gateway, &endpoint);
}

/// A reload gives discovery a new address, where calls get no response. The new discovery may have had
/// changes for a while, so that a full lease would let the gateway act on them too late. Expected: it sends
/// for the shortened lease only, then nothing, and again once the new discovery has responded.
#[test]
fn stops_sending_sooner_when_a_new_discovery_address_gives_no_list() {
    let endpoint = ScriptedServer::serving("");
    let (old, new) = (ConcurrentDiscovery::start(), ConcurrentDiscovery::start());
    let mut config = config(old.addr, &[up(&endpoint)]);
    let gateway = GatewayProcess::start(&config);
    let watch = old.answer_first_watch(&complete_list(2, &[up(&endpoint)]));
    config["discovery"] = json!(new.addr.to_string());
    gateway.reload(&config.to_string());
    let (moved, mut client) = (Instant::now(), gateway.client());
    drop(new.next_call_for_complete_list());
    drop(watch);
    assert_eq!(client.request(&ClientRequest::new("read")).status(), 200);
    endpoint.next_request();
    sleep(LEASE_AFTER_RELOAD.saturating_sub(moved.elapsed()));
    assert_serves_nothing(&gateway, &endpoint);
    client.write(&ClientRequest::new("read").text());
    new.answer_until_watch(&complete_list(1, &[up(&endpoint)]));
    assert_eq!(client.read().expect("a response").status(), 200);
}

/// A response to a watch is truncated. What it would have changed is unknown, and changes since the cached
/// revision may be those of another list by now. Expected: the complete list is fetched, and applied
/// although its revision is lower.
#[test]
fn fetches_the_complete_list_after_a_truncated_one() {
    let (old, new) = (ScriptedServer::serving("old"), ScriptedServer::serving("new"));
    let agent = ConcurrentDiscovery::start();
    let gateway = GatewayProcess::start(&config(agent.addr, &[up(&old)]));
    let watch = agent.answer_first_watch(&complete_list(7, &[up(&old)]));
    watch.write("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev\":");
    agent.next_call_for_complete_list().answer(&complete_list(3, &[endpoint_entry("s-1", new.addr, "up")]));
    assert!(agent.next_call().request_line.contains("after=3&"));
    assert_eq!(gateway.client().request(&ClientRequest::new("read")).body, b"new");
}
