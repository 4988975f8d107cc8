//! The endpoints that requests are sent to: the pool of connections to them, and single attempts at a request.
mod attempt;
mod pool;
mod request;
mod reuse_delay;
#[cfg(test)]
mod tests;

pub(crate) use self::attempt::AttemptResult;
pub(crate) use self::pool::{UpstreamPool, IDLE_CHECK_INTERVAL};
pub(crate) use self::request::UpstreamRequest;

/// Bodies of requests and of responses hold this much at most.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;
