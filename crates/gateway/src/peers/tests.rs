//! The tests of the messages between gateways: the limit on sending, and several messages to one peer.
use super::*;
use irishinge_admission::GatewayIndex;

/// A gateway that sent more than one gateway accepts could overload a peer, which would drop quota
/// messages. Expected: the full limit of a second at once, to one peer or to all, and no credit beyond that
/// after a pause.
#[test]
fn one_peer_may_be_sent_the_full_rate_limit_and_no_more() {
    let start = Instant::now();
    let mut limit = SendRateLimit::full(40.0, start);
    // The messages of a second at once, all to one peer.
    assert_eq!((0..100).filter(|_| limit.try_take(start)).count(), 40);
    let later = start + Duration::from_millis(500);
    assert_eq!((0..100).filter(|_| limit.try_take(later)).count(), 20);
    // An hour without a message saves up no more than the messages of one second.
    let much_later = start + Duration::from_secs(3600);
    assert_eq!((0..100).filter(|_| limit.try_take(much_later)).count(), 40);
}

/// In a large fleet a gateway sends many messages to the few peers that own its customers' quotas. A limit
/// for each peer would drop most of them. Expected: ten in a row reach one peer.
#[tokio::test]
async fn ten_messages_in_a_row_reach_one_of_a_hundred_peers() {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let receiver = std::net::UdpSocket::bind(loopback).expect("a socket");
    receiver.set_read_timeout(Some(Duration::from_secs(10))).expect("a time-out");
    let addrs = vec![receiver.local_addr().expect("an address"); 100];
    let peers = Peers::bind(Some(loopback), addrs, GatewayIndex(0), 40.0).await.expect("a socket");
    // The runtime must have polled a new socket before anything can be sent over it.
    peers.socket.as_ref().expect("a socket").writable().await.expect("a sound socket");
    for number in 0..10 {
        peers.send(GatewayIndex(1), &format!("message {number}"));
    }
    for number in 0..10 {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let length = receiver.recv(&mut buffer).expect("a message");
        assert_eq!(&buffer[..length], format!("message {number}").as_bytes());
    }
}

/// Datagrams may come from anyone, and a message that is longer than the buffer arrives cut off. Applied,
/// it could make quotas wrong. Expected: only text of at most 256 bytes from a configured peer is a
/// message.
#[test]
fn only_a_short_text_from_a_configured_peer_is_a_message() {
    let peer = Some(GatewayIndex(3));
    let longest = [b'x'; MAX_DATAGRAM_BYTES];
    let too_long = [b'x'; MAX_DATAGRAM_BYTES + 1];
    let text = std::str::from_utf8(&longest).expect("text");
    let cases = [
        (peer, &b"hi 7"[..], Ok((GatewayIndex(3), "hi 7"))),
        (peer, b"", Ok((GatewayIndex(3), ""))),
        (peer, &longest, Ok((GatewayIndex(3), text))),
        (None, b"hi 7", Err(IgnoredDatagram::UnknownSender)),
        (peer, &too_long, Err(IgnoredDatagram::TooLong)),
        (peer, b"\xff\xfe", Err(IgnoredDatagram::NotText)),
    ];
    for (from, datagram, expected) in cases {
        assert_eq!(read_message(from, datagram), expected, "{from:?} {datagram:?}");
    }
}
