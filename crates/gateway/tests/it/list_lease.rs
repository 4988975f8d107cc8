//! Tests of the lease on the endpoint list: how long the gateway uses a list that discovery does not confirm.
use crate::common::*;
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long a test waits until the lease of a list that discovery did not confirm has expired: 500 ms longer
/// than the 6 s within which a change must be known. The lease ends 500 ms before that time.
const LEASE_EXPIRY_WAIT: Duration = Duration::from_millis(6500);
/// How long a test waits for the same after a reload has changed discovery's address: 500 ms longer than the
/// 4 s within which a change must be known then. The lease ends 500 ms before that time.
const LEASE_EXPIRY_WAIT_AFTER_RELOAD: Duration = Duration::from_millis(4500);

/// Returns the list entry of a ready endpoint.
fn ready_entry(endpoint: &StubServer) -> Value {
    endpoint_entry("s-0", endpoint.addr, "up")
}

/// Asserts that a request is not served and that nothing is sent to the endpoint while the request waits.
fn assert_serves_nothing(gateway: &GatewayProcess, endpoint: &StubServer) {
    let request = ClientRequest { budget: "3.000", ..ClientRequest::new("read") };
    assert_ne!(gateway.client().request(&request).status(), 200);
    while let Ok(received) = endpoint.received.try_recv() {
        assert!(!matches!(received, Received::Request(..)), "{received:?}");
    }
}

/// Ends each call to discovery with `end_call`. Asserts that the gateway sends requests until the lease
/// expires and none after that, and that a waiting request is served once a list arrives, even one without
/// changes.
fn assert_stops_sending_when_calls_end_with(end_call: fn(DiscoveryCall)) {
    let (endpoint, discovery) = (StubServer::serving(""), ConcurrentDiscovery::start());
    let gateway = GatewayProcess::start(&config(discovery.addr, &[ready_entry(&endpoint)]));
    let start = Instant::now();
    end_call(discovery.next_call());
    assert_eq!(gateway.client().request(&ClientRequest::new("read")).status(), 200);
    endpoint.next_request();
    while start.elapsed() < LEASE_EXPIRY_WAIT {
        end_call(discovery.next_call());
    }
    assert_serves_nothing(&gateway, &endpoint);
    let mut client = gateway.client();
    client.write(&ClientRequest::new("read").text());
    // Every call is answered, because some may have timed out at the gateway by now.
    let known = ready_entry(&endpoint);
    std::thread::spawn(move || loop {
        let call = discovery.next_call();
        let is_complete = call.is_for_complete_list();
        call.answer(&if is_complete {
            complete_list(1, std::slice::from_ref(&known))
        } else {
            changes(1, &[])
        });
        sleep(Duration::from_millis(20));
    });
    assert_eq!(client.read().expect("the gateway responds").status(), 200);
    endpoint.next_request();
    assert_eq!(client.request(&ClientRequest::new("read")).status(), 200);
}

/// Discovery responds to every call with 503 for longer than a lease. The 503 may come from a proxy in front
/// of a discovery that is down, and a gateway whose list expired then would reject every request in an
/// outage. Expected: rejections renew the lease, and requests are served. (The unit tests of the lease check
/// that rejections do not renew it forever.)
#[test]
fn keeps_sending_while_discovery_answers_503() {
    let (endpoint, discovery) = (StubServer::serving(""), ConcurrentDiscovery::start());
    let gateway = GatewayProcess::start(&config(discovery.addr, &[ready_entry(&endpoint)]));
    let start = Instant::now();
    while start.elapsed() < LEASE_EXPIRY_WAIT {
        let call = discovery.next_call();
        assert!(!call.is_for_complete_list());
        call.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }
    assert_eq!(gateway.client().request(&ClientRequest::new("read")).status(), 200);
    endpoint.next_request();
}

/// Discovery accepts calls but never responds, so that the gateway is not notified if an endpoint is
/// draining. A gateway that kept its list would send to that endpoint forever. Expected: the gateway sends
/// until the lease expires, then nothing, and again once a list arrives.
#[test]
fn stops_sending_if_calls_get_no_response_until_the_lease_expires() {
    assert_stops_sending_when_calls_end_with(drop);
}

/// Discovery closes the connection of each call without a response. The gateway reaches discovery, so this is
/// not an outage that renews the lease. Expected: the lease expires as it does without a response.
#[test]
fn stops_sending_if_connections_break_until_the_lease_expires() {
    assert_stops_sending_when_calls_end_with(|call| call.break_connection());
}

/// Nothing listens at discovery's address for longer than a lease, and then discovery returns with another
/// list. No change is published in an outage, so a gateway whose list expired would reject every request
/// without need. Expected: the initial list is used during the outage, and the new list after it.
#[test]
fn keeps_sending_while_discovery_is_unreachable() {
    let endpoint = StubServer::serving("");
    // The port is bound, so that no other process can listen on it, but nothing listens yet.
    let port = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
    port.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("bind a loopback port");
    let addr =
        port.local_addr().expect("the socket is bound").as_socket().expect("the address is an IP address");
    let gateway = GatewayProcess::start(&config(addr, &[ready_entry(&endpoint)]));
    sleep(LEASE_EXPIRY_WAIT);
    let mut client = gateway.client();
    assert_eq!(client.request(&ClientRequest::new("read")).status(), 200);
    endpoint.next_request();
    // Discovery returns with a list that no longer has the endpoint, and the gateway applies it.
    port.listen(16).expect("listen on the socket");
    let discovery = ConcurrentDiscovery::start_on(port.into());
    discovery.answer_until_watch(&complete_list(2, &[]));
    assert_serves_nothing(&gateway, &endpoint);
}

/// A reload gives discovery a new address, where calls get no response. The new discovery may have had
/// changes for a while, so that with a full lease the gateway would act on them too late. Expected: the
/// gateway sends until the shortened lease expires, then nothing, and again once the new discovery has
/// responded.
#[test]
fn stops_sending_sooner_when_a_new_discovery_address_gives_no_list() {
    let endpoint = StubServer::serving("");
    let (old, new) = (ConcurrentDiscovery::start(), ConcurrentDiscovery::start());
    let mut config = config(old.addr, &[ready_entry(&endpoint)]);
    let gateway = GatewayProcess::start(&config);
    let watch = old.answer_first_watch(&complete_list(2, &[ready_entry(&endpoint)]));
    config["discovery"] = json!(new.addr.to_string());
    gateway.reload(&config.to_string());
    let (reloaded_at, mut client) = (Instant::now(), gateway.client());
    drop(new.next_call_for_complete_list());
    drop(watch);
    assert_eq!(client.request(&ClientRequest::new("read")).status(), 200);
    endpoint.next_request();
    sleep(LEASE_EXPIRY_WAIT_AFTER_RELOAD.saturating_sub(reloaded_at.elapsed()));
    assert_serves_nothing(&gateway, &endpoint);
    client.write(&ClientRequest::new("read").text());
    new.answer_until_watch(&complete_list(1, &[ready_entry(&endpoint)]));
    assert_eq!(client.read().expect("the gateway responds").status(), 200);
}

/// The response to a watch is truncated. What it would have changed is unknown, and by now the revision of
/// the list in use may belong to another list. Expected: the complete list is fetched, and applied although
/// its revision is lower.
#[test]
fn fetches_the_complete_list_after_a_truncated_response() {
    let (old, new) = (StubServer::serving("old"), StubServer::serving("new"));
    let discovery = ConcurrentDiscovery::start();
    let gateway = GatewayProcess::start(&config(discovery.addr, &[ready_entry(&old)]));
    let watch = discovery.answer_first_watch(&complete_list(7, &[ready_entry(&old)]));
    watch.write("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev\":");
    discovery
        .next_call_for_complete_list()
        .answer(&complete_list(3, &[endpoint_entry("s-1", new.addr, "up")]));
    assert!(discovery.next_call().request_line.contains("after=3&"));
    assert_eq!(gateway.client().request(&ClientRequest::new("read")).body, b"new");
}
