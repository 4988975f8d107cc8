//! A bound on how many connections of one kind are open at once: each takes a file descriptor.
use crate::http_connection::HttpConnection;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::{timeout_at, Instant};

/// Counts the open connections of one kind against a limit.
pub(crate) struct ConnectionBudget {
    open: Rc<Cell<usize>>,
    limit: usize,
}

impl ConnectionBudget {
    /// Creates a budget of `limit` connections, none of them open yet.
    pub(crate) fn new(limit: usize) -> Self {
        ConnectionBudget { open: Rc::default(), limit }
    }

    /// Whether no further connection may be opened.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.open.get() >= self.limit
    }

    /// Returns a permit for one more connection, or `None` if the budget is exhausted.
    pub(crate) fn try_acquire(&self) -> Option<ConnectionPermit> {
        if self.is_exhausted() {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(ConnectionPermit(self.open.clone()))
    }
}

/// Permission for one open connection. Dropping it returns it to the budget.
pub(crate) struct ConnectionPermit(Rc<Cell<usize>>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection that counts against a budget until it is dropped.
pub(crate) struct PooledConnection {
    /// The connection.
    pub connection: HttpConnection,
    _permit: ConnectionPermit,
}

impl PooledConnection {
    /// Establishes a connection under `permit`, or returns `None` and the permit to its budget if that
    /// fails or is not done by `deadline`. Dropping the future does the same.
    pub(crate) async fn connect(
        addr: SocketAddr,
        permit: ConnectionPermit,
        deadline: Instant,
    ) -> Option<Self> {
        let connection = timeout_at(deadline, HttpConnection::connect(addr)).await.ok()?.ok()?;
        Some(PooledConnection { connection, _permit: permit })
    }
}

#[cfg(test)]
mod tests;
