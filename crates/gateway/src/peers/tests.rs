//! The tests of the messages between gateways: the send rate limit, sending to one peer, and datagrams that
//! are ignored.
use super::*;
use irishinge_admission::GatewayIndex;

/// If a gateway sent more messages than one gateway accepts, it could overload a peer, which would drop
/// quota messages. Expected: the messages of one second can be sent at once, to one peer or to all, and a
/// longer pause earns no more tokens than that.
#[test]
fn send_rate_limit_holds_one_second_of_messages() {
    let start = Instant::now();
    let mut limit = SendRateLimit::full(40.0, start);
    // The messages of one second are sent at once.
    assert_eq!((0..100).filter(|_| limit.try_take(start)).count(), 40);
    let later = start + Duration::from_millis(500);
    assert_eq!((0..100).filter(|_| limit.try_take(later)).count(), 20);
    // An hour without a message earns no more than the tokens of one second.
    let much_later = start + Duration::from_secs(3600);
    assert_eq!((0..100).filter(|_| limit.try_take(much_later)).count(), 40);
}

/// In a large fleet, a gateway sends many messages to the few peers that own its customers' quotas. If the
/// limit were divided among the peers, most of these messages would be dropped. Expected: ten in a row
/// reach one peer.
#[tokio::test]
async fn one_of_a_hundred_peers_receives_ten_messages_in_a_row() {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let receiver = std::net::UdpSocket::bind(loopback).expect("a socket");
    receiver.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout");
    let addrs = vec![receiver.local_addr().expect("an address"); 100];
    let peers = PeerSocket::bind(Some(loopback), addrs, GatewayIndex(0), 40.0).await.expect("a socket");
    // `try_send_to` works only after the runtime has polled the new socket.
    peers.socket.as_ref().expect("a socket").writable().await.expect("a writable socket");
    for number in 0..10 {
        peers.send(GatewayIndex(1), &format!("message {number}"));
    }
    for number in 0..10 {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let length = receiver.recv(&mut buffer).expect("a message");
        assert_eq!(&buffer[..length], format!("message {number}").as_bytes());
    }
}

/// Datagrams may come from any sender, and a message that is longer than the buffer arrives truncated. If
/// such a datagram were applied, quotas could become wrong. Expected: only UTF-8 text of at most 256 bytes
/// from a configured peer is accepted.
#[test]
fn only_short_text_from_configured_peer_is_accepted() {
    let peer = Some(GatewayIndex(3));
    let longest = [b'x'; MAX_DATAGRAM_BYTES];
    let too_long = [b'x'; MAX_DATAGRAM_BYTES + 1];
    let text = std::str::from_utf8(&longest).expect("text");
    let cases = [
        (peer, &b"hi 7"[..], Ok((GatewayIndex(3), "hi 7"))),
        (peer, b"", Ok((GatewayIndex(3), ""))),
        (peer, &longest, Ok((GatewayIndex(3), text))),
        (None, b"hi 7", Err(DatagramError::UnknownSender)),
        (peer, &too_long, Err(DatagramError::TooLong)),
        (peer, b"\xff\xfe", Err(DatagramError::NotText)),
    ];
    for (from, datagram, expected) in cases {
        assert_eq!(parse_datagram(from, datagram), expected, "{from:?} {datagram:?}");
    }
}
