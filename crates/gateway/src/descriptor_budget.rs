//! How the file descriptors that the process may hold (`limits.sockets`) are divided, so that clients cannot take what
//! endpoints' connections need, nor either what the process itself needs.
use crate::{downstream, quota_counter};

/// Part of the descriptors that are left for connections which clients get; the rest is for endpoints.
const DOWNSTREAM_FRACTION: f64 = 0.6;

/// Descriptors that connections of clients and of endpoints cannot take.
struct Reserved {
    /// Standard input, output and error.
    standard_streams: usize,
    /// What the runtime holds: epoll twice, its waker, and three ends of the signals' socket pair.
    runtime: usize,
    /// The clients' listener and the peers' socket.
    listeners: usize,
    /// The connection to the old address of discovery and to the new one.
    discovery: usize,
    /// The configuration while it is read.
    configuration: usize,
    /// A connection that was accepted and is dropped, and one to spare.
    shed_connections: usize,
    /// Connections to the quota counter.
    quota_counter: usize,
    /// Clients' connections beyond their bound, over which requests are rejected.
    rejecting_connections: usize,
}

const RESERVED: Reserved = Reserved {
    standard_streams: 3,
    runtime: 6,
    listeners: 2,
    discovery: 2,
    configuration: 1,
    shed_connections: 2,
    quota_counter: quota_counter::MAX_CONNECTIONS,
    rejecting_connections: downstream::MAX_REFUSING_CONNECTIONS,
};

impl Reserved {
    const fn total(&self) -> usize {
        self.standard_streams
            + self.runtime
            + self.listeners
            + self.discovery
            + self.configuration
            + self.shed_connections
            + self.quota_counter
            + self.rejecting_connections
    }
}

/// How many connections clients and endpoints may have.
pub(crate) struct DescriptorBudget {
    /// Clients' connections, besides those over which requests are rejected.
    pub downstream: usize,
    /// Connections to endpoints.
    pub upstream: usize,
}

impl DescriptorBudget {
    /// Divides `limit` descriptors, which must be more than are reserved.
    pub(crate) fn new(limit: usize) -> Self {
        let available = limit - RESERVED.total();
        let downstream = (available as f64 * DOWNSTREAM_FRACTION) as usize;
        DescriptorBudget { downstream, upstream: available - downstream }
    }
}

#[cfg(test)]
mod tests;
