//! The open connections of clients, and which of them is evicted for a new one.
use super::connection::{Connection, ConnectionStage};
use super::eviction_order::EvictionRank;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A connection's number, in the order of their accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionId(u64);

/// All open connections.
#[derive(Default)]
pub(super) struct ConnectionTable {
    connections: RefCell<BTreeMap<ConnectionId, Rc<Connection>>>,
    next_id: Cell<u64>,
    connection_closed: Notify,
}

/// Whether a connection could be evicted for another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Eviction {
    /// One was notified to close.
    Evicted,
    /// All carry requests.
    AllActive,
}

impl ConnectionTable {
    /// How many connections are open.
    pub(super) fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Adds a connection.
    pub(super) fn insert(&self, connection: Rc<Connection>) -> ConnectionId {
        let id = ConnectionId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        self.connections.borrow_mut().insert(id, connection);
        id
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(&self, id: ConnectionId) {
        self.connections.borrow_mut().remove(&id);
        self.connection_closed.notify_one();
    }

    /// Has the connections that have had a request close after the response to the one in progress.
    pub(super) fn request_close_of_used(&self) {
        let connections = self.connections.borrow();
        let used = connections.values().filter(|c| c.stage() != ConnectionStage::AwaitingFirstRequest);
        used.for_each(|connection| connection.request_close());
    }

    /// Has all connections close after the response to the request in progress.
    pub(super) fn request_close_of_all(&self) {
        self.connections.borrow().values().for_each(|connection| connection.request_close());
    }

    /// Waits until no connection is open. Only one task may wait at a time.
    ///
    /// Cancel safe: the table is looked at before each wait, so that a connection that ended meanwhile
    /// counts.
    pub(super) async fn all_closed(&self) {
        while !self.connections.borrow().is_empty() {
            self.connection_closed.notified().await;
        }
    }

    /// Evicts the connection that is the first in the eviction order, if any carries no request.
    pub(super) fn evict_one(&self) -> Eviction {
        let connections = self.connections.borrow();
        let now = Instant::now();
        let rank = |connection: &Connection| {
            EvictionRank::new(connection.stage(), now.saturating_duration_since(connection.stage_since()))
        };
        let ranked = connections.values().filter_map(|connection| Some((rank(connection)?, connection)));
        match ranked.min_by_key(|(rank, _)| *rank) {
            Some((_, connection)) => {
                connection.evict();
                Eviction::Evicted
            }
            None => Eviction::AllActive,
        }
    }
}
