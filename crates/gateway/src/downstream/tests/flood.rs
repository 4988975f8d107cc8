//! When unread bytes are a flood, and how they are discarded.
use super::{active_connection, socket_pair};
use crate::downstream::flood::{discard, is_flood, DiscardResult, MIN_FLOOD_BYTES};
use std::io::Write;
use std::time::Duration;
use tokio::time::timeout;

/// One byte less than the bound may be a next request and stays; with that byte it is a flood.
#[tokio::test]
async fn unread_bytes_are_a_flood_from_64_kib() {
    assert_eq!(MIN_FLOOD_BYTES, 64 * 1024);
    let (stream, mut client) = socket_pair().await;
    client.write_all(&vec![b'x'; MIN_FLOOD_BYTES - 1]).expect("the sockets take it");
    stream.readable().await.expect("bytes");
    assert!(!is_flood(&stream));
    client.write_all(b"x").expect("the sockets take it");
    let noticed = timeout(Duration::from_secs(10), async {
        while !is_flood(&stream) {
            tokio::task::yield_now().await;
        }
    });
    noticed.await.expect("the last byte arrives");
}

/// Discarding must end when the socket is empty, and must not mistake that for a disconnect, nor a
/// disconnect for an empty socket: the request in progress would be cancelled, or run for nobody.
#[tokio::test]
async fn discard_distinguishes_empty_socket_from_disconnect() {
    let (stream, mut client) = socket_pair().await;
    client.write_all(b"x").expect("the sockets take it");
    stream.readable().await.expect("bytes");
    assert_eq!(discard(&stream), DiscardResult::NoneUnread);
    drop(client);
    stream.readable().await.expect("an end");
    assert_eq!(discard(&stream), DiscardResult::ClientDisconnected);
}

/// A client writes the beginning of its next request behind the one in progress. If it were discarded, the
/// next request would be lost. Expected: fewer bytes than a flood stay unread, for hyper.
#[tokio::test]
async fn less_than_a_flood_is_not_discarded() {
    let (connection, mut client) = active_connection().await;
    client.write_all(b"GET /").expect("the sockets take it");
    assert!(timeout(Duration::from_millis(100), connection.client_disconnected()).await.is_err());
    assert!(!connection.is_flooded());
}
