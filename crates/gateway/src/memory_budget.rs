//! Divides the memory that the process may use (`limits.memory_mb`) among what it keeps, so that none of them
//! can take the part of another. What is left is for the program, the endpoint list and the memory that the
//! allocator cannot use because it is in pieces.
use crate::upstream::MAX_BODY_BYTES;

/// Bytes in a megabyte, the unit of `limits.memory_mb`.
const BYTES_PER_MB: f64 = 1e6;

/// The fraction of the memory that connections from clients may take.
const CLIENT_CONNECTIONS_FRACTION: f64 = 0.3;
/// The memory that a connection from a client takes, in bytes: its buffers with 4 KiB of an incomplete head,
/// its state and that of its request.
const CLIENT_CONNECTION_BYTES: f64 = 20_000.0;
/// The minimum number of connections from clients, however little memory there is.
const MIN_CLIENT_CONNECTIONS: f64 = 16.0;

/// The fraction of the memory that connections to endpoints may take.
const UPSTREAM_CONNECTIONS_FRACTION: f64 = 0.14;
/// The memory that a connection to an endpoint takes, in bytes: its buffers and the state of its attempt.
const UPSTREAM_CONNECTION_BYTES: f64 = 20_000.0;
/// The minimum number of connections to endpoints, however little memory there is.
const MIN_UPSTREAM_CONNECTIONS: f64 = 13.0;

/// The fraction of the memory that heads and bodies of requests may take.
const REQUESTS_FRACTION: f64 = 0.18;

/// The fraction of the memory that bodies of responses may take.
const RESPONSES_FRACTION: f64 = 0.08;
/// The minimum memory for bodies of responses, in bytes: one of the largest fits beside smaller ones.
const MIN_RESPONSE_BYTES: usize = 2 * MAX_BODY_BYTES;

/// The fraction of the memory that records of customers may take.
const CUSTOMERS_FRACTION: f64 = 0.08;
/// The memory that a customer's record takes, in bytes: the record, its place in the table, and what peers
/// report about the customer.
const CUSTOMER_BYTES: f64 = 600.0;
/// The maximum number of customers with a record, however much memory there is.
const MAX_CUSTOMERS: f64 = 50_000.0;

/// The parts of the memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MemoryBudget {
    /// The maximum number of connections from clients.
    pub client_connections: usize,
    /// The maximum number of connections to endpoints.
    pub upstream_connections: usize,
    /// The maximum number of bytes of heads and bodies of requests.
    pub request_bytes: usize,
    /// The maximum number of bytes of bodies of responses.
    pub response_bytes: usize,
    /// The maximum number of customers with a record.
    pub max_customers: usize,
}

impl MemoryBudget {
    /// Divides `memory_mb` megabytes.
    pub(crate) fn new(memory_mb: f64) -> Self {
        let bytes = memory_mb * BYTES_PER_MB;
        let clients = bytes * CLIENT_CONNECTIONS_FRACTION / CLIENT_CONNECTION_BYTES;
        let upstream = bytes * UPSTREAM_CONNECTIONS_FRACTION / UPSTREAM_CONNECTION_BYTES;
        let customers = bytes * CUSTOMERS_FRACTION / CUSTOMER_BYTES;
        MemoryBudget {
            client_connections: clients.max(MIN_CLIENT_CONNECTIONS) as usize,
            upstream_connections: upstream.max(MIN_UPSTREAM_CONNECTIONS) as usize,
            request_bytes: (bytes * REQUESTS_FRACTION) as usize,
            response_bytes: ((bytes * RESPONSES_FRACTION) as usize).max(MIN_RESPONSE_BYTES),
            max_customers: customers.clamp(1.0, MAX_CUSTOMERS) as usize,
        }
    }
}

#[cfg(test)]
mod tests;
