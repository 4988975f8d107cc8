//! A limit on the number of open connections of one kind, because each takes a file descriptor.
use crate::http_connection::HttpConnection;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::{timeout_at, Instant};

/// A budget that counts the open connections of one kind against a limit.
pub(crate) struct ConnectionBudget {
    /// The number of permits that have not been returned.
    open: Rc<Cell<usize>>,
    /// The maximum number of permits.
    limit: usize,
}

impl ConnectionBudget {
    /// Creates a budget of `limit` connections, none of them open yet.
    pub(crate) fn new(limit: usize) -> Self {
        ConnectionBudget { open: Rc::default(), limit }
    }

    /// Returns the number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns whether no further connection may be opened.
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

/// A permit for one open connection. Dropping the permit returns it to its budget.
pub(crate) struct ConnectionPermit(Rc<Cell<usize>>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection that holds a permit of a budget, and so counts against the budget until it is dropped.
pub(crate) struct BudgetedConnection {
    /// The connection.
    pub connection: HttpConnection,
    /// The permit, which is returned to its budget when the connection is dropped.
    _permit: ConnectionPermit,
}

impl BudgetedConnection {
    /// Establishes a connection that holds `permit`. Returns `None` if that fails or is not complete by
    /// `deadline`. In that case, and if the future is dropped, the permit returns to its budget.
    pub(crate) async fn connect(
        addr: SocketAddr,
        permit: ConnectionPermit,
        deadline: Instant,
    ) -> Option<Self> {
        let connection = timeout_at(deadline, HttpConnection::connect(addr)).await.ok()?.ok()?;
        Some(BudgetedConnection { connection, _permit: permit })
    }
}

#[cfg(test)]
mod tests;
