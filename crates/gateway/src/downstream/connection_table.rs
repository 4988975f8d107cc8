//! The table of clients' open connections, from which one is evicted for a new one.
use super::connection::{Connection, ConnectionStage};
use super::eviction_order::EvictionRank;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Identifies a connection. Ids increase in the order in which connections are accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionId(u64);

/// A table of all open connections.
#[derive(Default)]
pub(super) struct ConnectionTable {
    /// The open connections, in the order in which they were accepted.
    connections: RefCell<BTreeMap<ConnectionId, Rc<Connection>>>,
    /// The id of the next connection.
    next_id: Cell<u64>,
    /// Notified whenever a connection is removed.
    connection_closed: Notify,
}

/// Whether a connection could be evicted for a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Eviction {
    /// A connection was notified to close.
    Evicted,
    /// No connection can be evicted: each has a request in progress or is closing already.
    NoneEvictable,
}

impl ConnectionTable {
    /// Returns the number of open connections.
    pub(super) fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Adds a connection and returns its id.
    pub(super) fn insert(&self, connection: Rc<Connection>) -> ConnectionId {
        let id = ConnectionId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        self.connections.borrow_mut().insert(id, connection);
        id
    }

    /// Removes a connection that has closed.
    pub(super) fn remove(&self, id: ConnectionId) {
        self.connections.borrow_mut().remove(&id);
        self.connection_closed.notify_one();
    }

    /// Requests the close of each connection that has had a request, after the response if a request is in
    /// progress.
    pub(super) fn request_close_of_used(&self) {
        let connections = self.connections.borrow();
        let used = connections.values().filter(|c| c.stage() != ConnectionStage::AwaitingFirstRequest);
        used.for_each(|connection| connection.request_close());
    }

    /// Requests the close of all connections, after the response if a request is in progress.
    pub(super) fn request_close_of_all(&self) {
        self.connections.borrow().values().for_each(|connection| connection.request_close());
    }

    /// Waits until no connection is open. Only one task may wait at a time.
    ///
    /// This method is cancel safe: it inspects the table before each wait, so that it cannot miss a
    /// connection that has closed in the meantime.
    pub(super) async fn all_closed(&self) {
        while !self.connections.borrow().is_empty() {
            self.connection_closed.notified().await;
        }
    }

    /// Closes the connection whose client has not read its responses for longest, and for `min_time` at
    /// least. Returns that time, or `None` if there is no such connection.
    pub(super) fn close_longest_unread(&self, min_time: Duration) -> Option<Duration> {
        let connections = self.connections.borrow();
        let now = Instant::now();
        let open = connections.values().filter(|connection| connection.stage() != ConnectionStage::Aborted);
        let unread = open.map(|connection| (connection.socket().unread_time(now), connection));
        let (time, connection) =
            unread.max_by_key(|(time, _)| *time).filter(|(time, _)| *time >= min_time)?;
        connection.close_unread();
        Some(time)
    }

    /// Evicts the connection that is first in the eviction order, if any connection can be evicted.
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
            None => Eviction::NoneEvictable,
        }
    }
}
