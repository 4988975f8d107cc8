//! What the dispatcher keeps in memory, for the reports on resources.
use super::Dispatcher;

/// The numbers of things that the dispatcher keeps in memory.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DispatcherUsage {
    /// Requests that wait for their response or have attempts in flight.
    pub active_requests: usize,
    /// Timers that have not expired.
    pub timers: usize,
    /// Customers with a record.
    pub customers: usize,
    /// Open connections to endpoints.
    pub upstream_connections: usize,
}

impl Dispatcher {
    /// Returns the numbers of things that are kept in memory now.
    pub(crate) fn usage(&self) -> DispatcherUsage {
        let state = self.state.borrow();
        DispatcherUsage {
            active_requests: state.active_requests.len(),
            timers: state.timers.len(),
            customers: state.gateway.customer_count(),
            upstream_connections: self.upstream.open_connections(),
        }
    }
}
