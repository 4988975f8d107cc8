//! The idle connections to one server, which can be reused for another request.
use crate::connection_budget::BudgetedConnection;
use crate::http_connection::HttpConnection;
use std::time::Duration;
use tokio::time::Instant;

/// An idle connection.
struct IdleConnection {
    /// The connection and its permit.
    budgeted: BudgetedConnection,
    /// When the connection became idle.
    idle_since: Instant,
}

/// The idle connections to one server. A connection that has been idle for `timeout` or longer is not reused.
pub(crate) struct IdleConnections {
    /// How long a connection may be idle.
    timeout: Duration,
    /// The idle connections. The most recently used one is last.
    connections: Vec<IdleConnection>,
}

impl IdleConnections {
    /// Creates an empty list of connections that may be idle for `timeout`.
    pub(crate) fn new(timeout: Duration) -> Self {
        IdleConnections { timeout, connections: Vec::new() }
    }

    /// Returns whether there is no idle connection.
    pub(crate) fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns when the connection that has been idle for longest became idle.
    pub(crate) fn longest_idle_since(&self) -> Option<Instant> {
        self.connections.first().map(|idle| idle.idle_since)
    }

    /// Adds a connection that has just become idle.
    pub(crate) fn put(&mut self, budgeted: BudgetedConnection) {
        self.connections.push(IdleConnection { budgeted, idle_since: Instant::now() });
    }

    /// Takes the most recently used connection for which `allows_reuse` returns true, given the time when the
    /// connection became idle. Stale connections that it finds on the way are closed.
    pub(crate) fn take(
        &mut self,
        allows_reuse: impl Fn(Instant) -> bool,
        is_usable: impl Fn(&mut HttpConnection) -> bool,
    ) -> Option<BudgetedConnection> {
        loop {
            let position = self.connections.iter().rposition(|idle| allows_reuse(idle.idle_since))?;
            let mut idle = self.connections.remove(position);
            if is_fresh(&mut idle, self.timeout, &is_usable) {
                return Some(idle.budgeted);
            }
        }
    }

    /// Closes the stale connections: those that have been idle for the timeout or longer, or that are not
    /// usable.
    pub(crate) fn close_stale(&mut self, is_usable: impl Fn(&mut HttpConnection) -> bool) {
        self.connections.retain_mut(|idle| is_fresh(idle, self.timeout, &is_usable));
    }

    /// Closes the connection that has been idle for longest, if there is one.
    pub(crate) fn close_longest_idle(&mut self) {
        if !self.connections.is_empty() {
            self.connections.remove(0);
        }
    }

    /// Closes all connections.
    pub(crate) fn close_all(&mut self) {
        self.connections.clear();
    }
}

/// Returns whether a connection has been idle for less than `timeout` and is usable.
fn is_fresh(
    idle: &mut IdleConnection,
    timeout: Duration,
    is_usable: impl Fn(&mut HttpConnection) -> bool,
) -> bool {
    idle.idle_since.elapsed() < timeout && is_usable(&mut idle.budgeted.connection)
}

#[cfg(test)]
mod tests;
