//! Tests of when unread bytes are a flood, and of how they are discarded.
use super::{active_connection, socket_pair};
use crate::downstream::flood::{discard, is_flood, DiscardResult, MIN_FLOOD_BYTES};
use std::io::Write;
use std::time::Duration;
use tokio::time::timeout;

/// Fewer unread bytes than the bound may be a further request and must stay unread. Expected: one byte less
/// than 64 KiB is not a flood, and with that byte it is.
#[tokio::test]
async fn unread_bytes_are_a_flood_from_64_kib() {
    assert_eq!(MIN_FLOOD_BYTES, 64 * 1024);
    let (stream, mut client) = socket_pair().await;
    client.write_all(&vec![b'x'; MIN_FLOOD_BYTES - 1]).expect("the bytes fit into the socket buffers");
    stream.readable().await.expect("the socket is readable");
    assert!(!is_flood(&stream));
    client.write_all(b"x").expect("the bytes fit into the socket buffers");
    let noticed = timeout(Duration::from_secs(10), async {
        while !is_flood(&stream) {
            tokio::task::yield_now().await;
        }
    });
    noticed.await.expect("the last byte arrives");
}

/// Discarding ends when the socket is empty. If an empty socket were mistaken for a disconnect, the request
/// in progress would be cancelled; if a disconnect were mistaken for an empty socket, the request would go on
/// although no client waits for it.
#[tokio::test]
async fn discard_distinguishes_empty_socket_from_disconnect() {
    let (stream, mut client) = socket_pair().await;
    client.write_all(b"x").expect("the bytes fit into the socket buffers");
    stream.readable().await.expect("the socket is readable");
    assert_eq!(discard(&stream), DiscardResult::NoneUnread);
    drop(client);
    stream.readable().await.expect("the socket is readable");
    assert_eq!(discard(&stream), DiscardResult::ClientDisconnected);
}

/// A client writes the beginning of its next request while one is in progress. If those bytes were discarded,
/// the next request would be lost. Expected: fewer bytes than a flood stay unread, so that hyper can read
/// them.
#[tokio::test]
async fn less_than_a_flood_is_not_discarded() {
    let (connection, mut client) = active_connection().await;
    client.write_all(b"GET /").expect("the bytes fit into the socket buffers");
    assert!(timeout(Duration::from_millis(100), connection.client_disconnected()).await.is_err());
    assert!(!connection.is_flooded());
}
