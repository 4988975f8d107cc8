//! The idle connections to one server, which can be reused for another request.
mod surplus_log;
#[cfg(test)]
mod tests;

use self::surplus_log::SurplusLog;
use crate::connection_budget::BudgetedConnection;
use crate::http_connection::IdleCheck;
use std::time::Duration;
use tokio::time::Instant;

/// An idle connection.
struct IdleConnection {
    /// The connection and its permit.
    budgeted: BudgetedConnection,
    /// When the connection became idle.
    idle_since: Instant,
}

/// A connection that was taken while its reuse delay is not over. It must not carry a request before
/// [`IdleConnections::accept_unchecked`] has returned it.
pub(crate) struct DelayedConnection(IdleConnection);

impl DelayedConnection {
    /// Waits until the connection may carry a request.
    pub(crate) async fn reuse_delay_over(self) -> UncheckedConnection {
        self.0.budgeted.connection.reuse_delay_over().await;
        UncheckedConnection(self.0)
    }
}

/// A connection that was taken and whose reuse delay is now over. It is not known yet whether it is usable.
pub(crate) struct UncheckedConnection(IdleConnection);

/// The idle connections to one server. A connection that has been idle for `timeout` or longer is not reused.
pub(crate) struct IdleConnections {
    /// How long a connection may be idle.
    timeout: Duration,
    /// The idle connections. The most recently used one is last.
    connections: Vec<IdleConnection>,
    /// Reports connections that received surplus bytes.
    surplus_log: SurplusLog,
}

impl IdleConnections {
    /// Creates an empty list of connections that may be idle for `timeout`.
    pub(crate) fn new(timeout: Duration) -> Self {
        IdleConnections { timeout, connections: Vec::new(), surplus_log: SurplusLog::default() }
    }

    /// Returns whether there is no idle connection.
    pub(crate) fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns when the connection that has been idle for longest became idle.
    pub(crate) fn longest_idle_since(&self) -> Option<Instant> {
        self.connections.first().map(|idle| idle.idle_since)
    }

    /// Adds a connection that has just become idle, or closes it if it is not usable.
    pub(crate) fn put(&mut self, budgeted: BudgetedConnection) {
        let mut idle = IdleConnection { budgeted, idle_since: Instant::now() };
        if is_usable(&mut idle, &mut self.surplus_log) {
            self.connections.push(idle);
        }
    }

    /// Takes the most recently used connection that may carry a request at once: one whose reuse delay is
    /// over. Stale connections that it finds on the way are closed.
    pub(crate) fn take(&mut self) -> Option<BudgetedConnection> {
        loop {
            let is_reusable = |idle: &IdleConnection| idle.budgeted.connection.is_reuse_delay_over();
            let position = self.connections.iter().rposition(is_reusable)?;
            let idle = self.connections.remove(position);
            if let Some(fresh) = self.accept_if_fresh(idle) {
                return Some(fresh);
            }
        }
    }

    /// Takes the connection whose reuse delay ends first, for a caller that waits for it. To be called if
    /// [`take`](Self::take) returns `None`, so that the delay of no connection is over.
    pub(crate) fn take_delayed(&mut self) -> Option<DelayedConnection> {
        // The connection that was used longest ago is first.
        (!self.is_empty()).then(|| DelayedConnection(self.connections.remove(0)))
    }

    /// Returns a connection whose reuse delay is over, or closes it if it is stale.
    pub(crate) fn accept_unchecked(&mut self, unchecked: UncheckedConnection) -> Option<BudgetedConnection> {
        self.accept_if_fresh(unchecked.0)
    }

    /// Returns a connection that was taken, or closes it if it is stale.
    fn accept_if_fresh(&mut self, mut idle: IdleConnection) -> Option<BudgetedConnection> {
        is_fresh(&mut idle, self.timeout, &mut self.surplus_log).then_some(idle.budgeted)
    }

    /// Closes the stale connections: those that have been idle for the timeout or longer, or that are not
    /// usable.
    pub(crate) fn close_stale(&mut self) {
        let surplus_log = &mut self.surplus_log;
        self.connections.retain_mut(|idle| is_fresh(idle, self.timeout, surplus_log));
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
fn is_fresh(idle: &mut IdleConnection, timeout: Duration, surplus_log: &mut SurplusLog) -> bool {
    idle.idle_since.elapsed() < timeout && is_usable(idle, surplus_log)
}

/// Returns whether a connection can carry another request, at once or after its reuse delay.
fn is_usable(idle: &mut IdleConnection, surplus_log: &mut SurplusLog) -> bool {
    let connection = &mut idle.budgeted.connection;
    let check = connection.check_idle();
    if check == IdleCheck::SurplusBytes {
        surplus_log.record(connection.server_addr(), idle.idle_since.elapsed(), Instant::now());
    }
    check == IdleCheck::Usable
}
