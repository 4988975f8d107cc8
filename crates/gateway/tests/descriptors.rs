//! Idle clients hold all descriptors they can get.
mod common;

use common::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;

/// Discovery goes and comes back meanwhile; the process really has no more descriptors than it was told.
#[test]
fn idle_clients_keep_neither_discovery_nor_hosts_out() {
    for sockets in [64, 256] {
        let host = Host::start(answer("200 OK", "", "new"));
        let discovery = Discovery::start();
        let mut config = config(discovery.addr, &[]);
        config["limits"]["sockets"] = json!(sockets);
        let gateway = Gateway::start_confined(&config);
        discovery.call();
        discovery.push(list(4, true, &[]));
        discovery.call();
        // Served ones and silent ones, more than there are descriptors.
        let health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
        let mut idle = Vec::new();
        for n in 0..2 * sockets {
            let mut client = gateway.client();
            if n % 2 == 0 {
                assert_eq!(client.ask(health).status(), 503);
            }
            idle.push(client);
        }
        // Its connection breaks and must come up anew.
        discovery.fail();
        discovery.call();
        discovery.push(list(5, true, &[target("s-0", host.addr, "up")]));
        assert!(discovery.call().contains("after=5"));
        assert_eq!(gateway.client().ask(&Ask::new("read").text()).body, b"new", "{sockets}");
        drop(idle);
    }
}

/// Each was served and is told to make room, but has a body half sent, for which it may stay open for seconds.
#[test]
fn clients_that_take_their_time_over_a_body_do_not_add_up_beyond_the_bound() {
    let discovery = Discovery::start();
    let mut config = config(discovery.addr, &[]);
    config["limits"]["sockets"] = json!(64);
    let gateway = Gateway::start(&config);
    let body =
        Ask { body: "half", ..Ask::new("post") }.text().replace("Content-Length: 4", "Content-Length: 9");
    let mut clients = Vec::new();
    for _ in 0..200 {
        let mut stream = TcpStream::connect(gateway.addr).expect("the gateway accepts");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        // Beyond the bound it may be closed at once.
        let _ = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        if stream.read(&mut [0; 512]).is_ok_and(|n| n > 0) {
            let _ = stream.write_all(body.as_bytes());
        }
        clients.push(stream);
        let held = std::fs::read_dir(format!("/proc/{}/fd", gateway.pid())).expect("descriptors").count();
        assert!(held <= 64, "{held} descriptors");
    }
}

/// All of the bound have a request in work, and those that say nothing stand on all places beyond it.
#[test]
fn silent_clients_beyond_the_bound_keep_nobody_out() {
    let (host, discovery) = (Host::start(Reply::Silence), Discovery::start());
    let mut config = config(discovery.addr, &[target("s-0", host.addr, "up")]);
    config["limits"]["sockets"] = json!(64);
    config["settings"]["tiersOfService"][0]["peakUnits"] = json!(1000.0);
    let gateway = Gateway::start_confined(&config);
    let mut busy: Vec<_> = (0..19).map(|_| gateway.client()).collect();
    busy.iter_mut().for_each(|client| client.write(&Ask::new("read").text()));
    let silent: Vec<_> = (0..8).map(|_| gateway.client()).collect();
    for _ in 0..4 {
        assert_eq!(gateway.client().ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
    }
    drop(silent);
}
