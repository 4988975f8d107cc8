//! The final response to a request.
use bytes::Bytes;
use hyper::Response;

/// The final response to a request, which its client gets.
pub(crate) enum FinalResponse {
    /// An endpoint's response.
    Served(Response<Bytes>),
    /// The request was rejected. The client may safely retry it: either the request never ran, or running it
    /// again does no harm.
    Rejected {
        /// How long the client should wait before a retry, in milliseconds; `None` if not stated.
        retry_after_ms: Option<f64>,
    },
    /// The request failed, and may have run.
    Failed,
}
