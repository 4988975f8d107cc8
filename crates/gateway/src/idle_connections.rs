//! The idle connections to one server, which wait to carry another request.
use crate::connection_budget::PooledConnection;
use crate::http_connection::HttpConnection;
use std::time::Duration;
use tokio::time::Instant;

struct IdleConnection {
    pooled: PooledConnection,
    idle_since: Instant,
}

/// The idle connections to one server. None is reused that has been idle for the timeout or longer.
pub(crate) struct IdleConnections {
    timeout: Duration,
    /// The most recently used connection is last.
    connections: Vec<IdleConnection>,
}

impl IdleConnections {
    /// Creates an empty list.
    pub(crate) fn new(timeout: Duration) -> Self {
        IdleConnections { timeout, connections: Vec::new() }
    }

    /// Whether there is no idle connection.
    pub(crate) fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Since when the longest idle connection has been idle.
    pub(crate) fn longest_idle_since(&self) -> Option<Instant> {
        self.connections.first().map(|idle| idle.idle_since)
    }

    /// Adds a connection that has just become idle.
    pub(crate) fn put(&mut self, pooled: PooledConnection) {
        self.connections.push(IdleConnection { pooled, idle_since: Instant::now() });
    }

    /// Takes the most recently used of the connections that `allows_reuse`, given since when they have been
    /// idle. Those that are found stale on the way are closed.
    pub(crate) fn take(
        &mut self,
        allows_reuse: impl Fn(Instant) -> bool,
        is_usable: impl Fn(&mut HttpConnection) -> bool,
    ) -> Option<PooledConnection> {
        loop {
            let position = self.connections.iter().rposition(|idle| allows_reuse(idle.idle_since))?;
            let mut idle = self.connections.remove(position);
            if is_fresh(&mut idle, self.timeout, &is_usable) {
                return Some(idle.pooled);
            }
        }
    }

    /// Closes the connections that have been idle for too long or that are not usable.
    pub(crate) fn close_stale(&mut self, is_usable: impl Fn(&mut HttpConnection) -> bool) {
        self.connections.retain_mut(|idle| is_fresh(idle, self.timeout, &is_usable));
    }

    /// Closes the longest idle connection, if there is one.
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

fn is_fresh(
    idle: &mut IdleConnection,
    timeout: Duration,
    is_usable: impl Fn(&mut HttpConnection) -> bool,
) -> bool {
    idle.idle_since.elapsed() < timeout && is_usable(&mut idle.pooled.connection)
}

#[cfg(test)]
mod tests;
