//! Divides the file descriptors that the process may hold (`limits.sockets`), so that clients cannot exhaust
//! those that connections to endpoints need, and neither can exhaust those that the process itself needs.
use crate::{downstream, quota_counter};

/// The fraction of the unreserved descriptors that is for clients' connections. The rest is for connections
/// to endpoints.
const DOWNSTREAM_FRACTION: f64 = 0.6;

/// Descriptors that are divided neither among clients nor among endpoints.
struct Reserved {
    /// Standard input, output and error.
    standard_streams: usize,
    /// Those of the runtime: two for epoll, one for its waker, and three ends of the signal handler's socket
    /// pair.
    runtime: usize,
    /// The clients' listener and the peers' socket.
    listeners: usize,
    /// One connection to discovery's previous address and one to its new address, which overlap after SIGHUP.
    discovery: usize,
    /// The configuration file while it is read.
    configuration: usize,
    /// A connection that was accepted only to be closed, and one to spare.
    shed_connections: usize,
    /// Connections to the quota counter.
    quota_counter: usize,
    /// Clients' connections beyond their limit, accepted only to reject the requests on them.
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
    rejecting_connections: downstream::MAX_REJECTING_CONNECTIONS,
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

/// The maximum numbers of connections from clients and to endpoints.
pub(crate) struct DescriptorBudget {
    /// Connections from clients, not counting those that are accepted only to reject requests.
    pub downstream: usize,
    /// Connections to endpoints.
    pub upstream: usize,
}

impl DescriptorBudget {
    /// Divides `limit` descriptors. The configuration guarantees that `limit` exceeds the reserved number.
    pub(crate) fn new(limit: usize) -> Self {
        let available = limit - RESERVED.total();
        let downstream = (available as f64 * DOWNSTREAM_FRACTION) as usize;
        DescriptorBudget { downstream, upstream: available - downstream }
    }
}

#[cfg(test)]
mod tests;
