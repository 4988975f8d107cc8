//! The upstream side: the endpoints, the pool of connections to them, and the attempts that send requests to
//! them.
mod attempt;
mod outcomes;
mod pool;
#[cfg(test)]
mod tests;
mod upstream_request;

pub(crate) use self::attempt::AttemptResult;
pub(crate) use self::outcomes::RequestStatus;
pub(crate) use self::pool::{UpstreamPool, IDLE_CHECK_INTERVAL};
pub(crate) use self::upstream_request::{ForwardedHead, UpstreamRequest};

/// The maximum size of a request body or response body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;
