//! Idle clients take all descriptors they can get.
use crate::common::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;

/// More idle clients connect than the process may have descriptors. If they took all of them, neither
/// discovery nor an endpoint could be reached any more. Expected: discovery can return after an outage, and
/// a request is served by the endpoint that it names.
#[test]
fn idle_clients_cannot_take_the_descriptors_of_discovery_and_endpoints() {
    for sockets in [64, 256] {
        let endpoint = ScriptedServer::serving("new");
        let discovery = SequentialDiscovery::start();
        let mut config = config(discovery.addr, &[]);
        config["limits"]["sockets"] = json!(sockets);
        let gateway = GatewayProcess::start_with_descriptor_limit(&config);
        discovery.next_call();
        discovery.push(complete_list(4, &[]));
        discovery.next_call();
        // Served ones and silent ones, more than there are descriptors.
        let mut idle = Vec::new();
        for n in 0..2 * sockets {
            let mut client = gateway.client();
            if n % 2 == 0 {
                assert_eq!(client.health_status(), 503);
            }
            idle.push(client);
        }
        // Its connection breaks and must be established again.
        discovery.break_connection();
        discovery.next_call();
        discovery.push(complete_list(5, &[endpoint_entry("s-0", endpoint.addr, "up")]));
        assert!(discovery.next_call().contains("after=5"));
        assert_eq!(gateway.client().request(&ClientRequest::new("read")).body, b"new", "{sockets}");
        drop(idle);
    }
}

/// Clients that have been served begin a request with a body and stop halfway, so that an evicted
/// connection stays open until its body times out. If evicted connections were not counted, the process
/// would exceed its descriptors. Expected: it never has more open than its configuration permits.
#[test]
fn clients_with_half_sent_bodies_stay_within_the_bound() {
    let discovery = SequentialDiscovery::start();
    let mut config = config(discovery.addr, &[]);
    config["limits"]["sockets"] = json!(64);
    let gateway = GatewayProcess::start(&config);
    let body = ClientRequest { body: "half", ..ClientRequest::new("post") }
        .text()
        .replace("Content-Length: 4", "Content-Length: 9");
    let mut clients = Vec::new();
    for _ in 0..200 {
        let mut stream = TcpStream::connect(gateway.addr).expect("the gateway accepts");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        // Beyond the bound it may be closed at once.
        let _ = stream.write_all(HEALTH_CHECK.as_bytes());
        if stream.read(&mut [0; 512]).is_ok_and(|n| n > 0) {
            let _ = stream.write_all(body.as_bytes());
        }
        clients.push(stream);
        let open =
            std::fs::read_dir(format!("/proc/{}/fd", gateway.process_id())).expect("descriptors").count();
        assert!(open <= 64, "{open} descriptors");
    }
}

/// Every connection within the limit has a request in progress, and silent connections take all places
/// beyond it. If those could not be evicted, a health check would not get in, and the gateway would be
/// taken for dead. Expected: health checks are served.
#[test]
fn silent_clients_beyond_the_bound_are_evicted_for_others() {
    let (endpoint, discovery) = (ScriptedServer::silent(), SequentialDiscovery::start());
    let mut config = config(discovery.addr, &[endpoint_entry("s-0", endpoint.addr, "up")]);
    config["limits"]["sockets"] = json!(64);
    config["settings"]["tiersOfService"][0]["peakUnits"] = json!(1000.0);
    let gateway = GatewayProcess::start_with_descriptor_limit(&config);
    let mut busy: Vec<_> = (0..19).map(|_| gateway.client()).collect();
    busy.iter_mut().for_each(|client| client.write(&ClientRequest::new("read").text()));
    let silent: Vec<_> = (0..8).map(|_| gateway.client()).collect();
    for _ in 0..4 {
        assert_eq!(gateway.client().health_status(), 200);
    }
    drop(silent);
}
