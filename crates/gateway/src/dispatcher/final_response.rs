//! The final response to a call.
use bytes::Bytes;
use hyper::Response;

/// The final response to a call.
pub(crate) enum FinalResponse {
    /// An endpoint's response.
    Served(Response<Bytes>),
    /// The call was rejected. The client's retry does no harm: the request never ran, or running it again
    /// does none.
    Rejected {
        /// How long the client should wait before a retry.
        retry_after_ms: Option<f64>,
    },
    /// The call failed, and may have been processed.
    Failed,
}
