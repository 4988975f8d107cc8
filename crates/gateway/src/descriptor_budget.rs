//! Divides the file descriptors that the process may hold (`limits.sockets`) among connections from clients,
//! connections to endpoints and the process itself, so that none of them can exhaust those of another.
use crate::memory_budget::MemoryBudget;
use crate::{downstream, quota_counter};

/// The fraction of the unreserved descriptors that is for connections from clients. The rest is for
/// connections to endpoints.
const DOWNSTREAM_FRACTION: f64 = 0.6;

/// The numbers of descriptors that are reserved, and so available neither to connections from clients nor to
/// connections to endpoints.
struct Reserved {
    /// Standard input, output and error.
    standard_streams: usize,
    /// The runtime: two for epoll, one for its waker, and three for the signal handler's socket pair, one end
    /// of which the runtime duplicates.
    runtime: usize,
    /// The listener for clients and the socket for peers.
    listeners: usize,
    /// One connection to discovery's previous address and one to its new address: after SIGHUP both may be
    /// open at the same time.
    discovery: usize,
    /// The configuration file, or the file that tells the memory of the process, while it is read. Each is
    /// closed before the thread does anything else.
    files: usize,
    /// The connection that is accepted only to be closed, of which there is one at a time, and a margin of
    /// one more.
    connections_being_closed: usize,
    /// The connections to the quota counter.
    quota_counter: usize,
    /// The connections from clients beyond their limit, whose requests are rejected, or which are served
    /// while evicted connections still close.
    rejecting_connections: usize,
}

/// The reserved descriptors of every gateway.
const RESERVED: Reserved = Reserved {
    standard_streams: 3,
    runtime: 6,
    listeners: 2,
    discovery: 2,
    files: 1,
    connections_being_closed: 2,
    quota_counter: quota_counter::MAX_CONNECTIONS,
    rejecting_connections: downstream::MAX_REJECTING_CONNECTIONS,
};

impl Reserved {
    /// Returns the number of all reserved descriptors.
    const fn total(&self) -> usize {
        self.standard_streams
            + self.runtime
            + self.listeners
            + self.discovery
            + self.files
            + self.connections_being_closed
            + self.quota_counter
            + self.rejecting_connections
    }
}

/// The maximum numbers of connections from clients and of connections to endpoints.
pub(crate) struct DescriptorBudget {
    /// The maximum number of connections from clients, not counting those that are accepted only to reject
    /// the requests on them.
    pub downstream: usize,
    /// The maximum number of connections to endpoints.
    pub upstream: usize,
}

impl DescriptorBudget {
    /// Divides `limit` descriptors. The validation of the configuration guarantees that `limit` exceeds the
    /// number of reserved descriptors.
    pub(crate) fn new(limit: usize) -> Self {
        let available = limit - RESERVED.total();
        let downstream = (available as f64 * DOWNSTREAM_FRACTION) as usize;
        DescriptorBudget { downstream, upstream: available - downstream }
    }

    /// Returns the numbers of connections that there is memory for, too.
    pub(crate) fn within(self, memory: &MemoryBudget) -> Self {
        DescriptorBudget {
            downstream: self.downstream.min(memory.client_connections),
            upstream: self.upstream.min(memory.upstream_connections),
        }
    }
}

#[cfg(test)]
mod tests;
