//! The tests of the downstream server, by concern, and what they have in common.
mod client_disconnect;
mod connection_limit;
mod eviction;
mod eviction_order;
mod flood;
mod metering;
mod request_errors;
mod request_parsing;
mod request_rules;

use super::connection::{Connection, ConnectionRole, ConnectionStage};
use irishinge_admission::{ClassSettings, DedupGroup, Idempotency, Settings};
use irishinge_settings::Names;
use std::io;
use std::net::TcpStream as Client;
use tokio::net::{TcpListener, TcpStream};

async fn socket_pair() -> (TcpStream, Client) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client = Client::connect(listener.local_addr().expect("bound")).expect("a connection");
    let (stream, _) = listener.accept().await.expect("a connection");
    (stream, client)
}

/// A connection with a request in progress, and its client.
async fn active_connection() -> (Connection, Client) {
    let (stream, client) = socket_pair().await;
    // hyper has read all there was.
    assert_eq!(stream.try_read(&mut [0]).map_err(|e| e.kind()), Err(io::ErrorKind::WouldBlock));
    let connection = Connection::new(stream, ConnectionRole::Serving);
    connection.enter_stage(ConnectionStage::Active);
    (connection, client)
}

/// Three classes, one for each kind of idempotency, at one of four gateways.
fn settings() -> Settings {
    let class = |idempotency| ClassSettings {
        latency_objective_ms: 100.0,
        deadline_ms: 2000.0,
        priority_weight: 1.0,
        idempotency,
    };
    let keyed = Idempotency::IdempotencyKey { group: DedupGroup::All, window_ms: 4000.0 };
    let classes = [Idempotency::Idempotent, keyed, Idempotency::NonIdempotent].map(class).to_vec();
    Settings { classes, gateways: 4, max_units: 8.0, ..Settings::default() }
}

fn names() -> Names {
    let names = |names: &[&str]| names.iter().map(ToString::to_string).collect();
    Names {
        classes: names(&["read", "post", "once"]),
        plans: names(&["basic", "gold"]),
        zones: names(&["a"]),
        machine_kinds: names(&["m"]),
    }
}
