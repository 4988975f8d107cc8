//! Messages between gateways.
use crate::common::*;
use serde_json::json;
use std::net::{Ipv4Addr, UdpSocket};

/// Datagrams arrive that are not text, too long, empty, or from a sender that is no peer. If one of them
/// ended the receiving task or were applied, quotas would go wrong. Expected: they are ignored, and the
/// peer receives the gateway's messages.
#[test]
fn sends_messages_to_peers_and_ignores_strangers() {
    let endpoint = ScriptedServer::serving("");
    let discovery = SequentialDiscovery::start();
    let peer = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    peer.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    let stranger = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let mut config = config(discovery.addr, &[endpoint_entry("s-0", endpoint.addr, "up")]);
    config["peer_listen"] = json!("127.0.0.1:0");
    config["peers"] = json!(["127.0.0.1:1", peer.local_addr().expect("bound").to_string()]);
    config["settings"]["balancers"] = json!(2);
    let gateway = GatewayProcess::start(&config);
    let to = gateway.peer_addr.expect("peers are listened for");
    for odd in [&b"\xff\xfe"[..], &[b'x'; 300], b"", b"not of the module"] {
        stranger.send_to(odd, to).expect("sent");
        peer.send_to(odd, to).expect("sent");
    }
    assert_eq!(gateway.client().request(&ClientRequest::new("read")).status(), 200);
    let mut buffer = [0; 2048];
    for _ in 0..3 {
        let (length, from) = peer.recv_from(&mut buffer).expect("a message");
        assert!(length <= 256);
        assert_eq!(from, to);
    }
}
