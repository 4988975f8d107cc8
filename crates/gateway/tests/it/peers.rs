//! Tests of messages between gateways.
use crate::common::*;
use serde_json::json;
use std::net::{Ipv4Addr, UdpSocket};

/// Datagrams arrive that are not UTF-8, too long, empty, not a valid message, or from a sender that is not a
/// peer. If one of them ended the receiving task or were applied, quotas would be wrong. Expected: a request
/// is still served, and the peer receives messages of at most 256 bytes from the gateway.
#[test]
fn serves_and_sends_messages_to_peers_despite_invalid_datagrams() {
    let endpoint = StubServer::serving("");
    let discovery = SequentialDiscovery::start();
    let peer = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind a loopback port");
    peer.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
    let stranger = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind a loopback port");
    let mut config = config(discovery.addr, &[endpoint_entry("s-0", endpoint.addr, "up")]);
    config["peer_listen"] = json!("127.0.0.1:0");
    config["peers"] = json!(["127.0.0.1:1", peer.local_addr().expect("the socket is bound").to_string()]);
    config["settings"]["balancers"] = json!(2);
    let gateway = GatewayProcess::start(&config);
    let gateway_addr = gateway.peer_addr.expect("the gateway listens for peers");
    // The last datagram is text, but not a message.
    for datagram in [&b"\xff\xfe"[..], &[b'x'; 300], b"", b"not of the module"] {
        stranger.send_to(datagram, gateway_addr).expect("send the datagram");
        peer.send_to(datagram, gateway_addr).expect("send the datagram");
    }
    assert_eq!(gateway.client().request(&ClientRequest::new("read")).status(), 200);
    let mut buffer = [0; 2048];
    for _ in 0..3 {
        let (length, from) = peer.recv_from(&mut buffer).expect("the gateway sends a message");
        assert!(length <= 256);
        assert_eq!(from, gateway_addr);
    }
}
