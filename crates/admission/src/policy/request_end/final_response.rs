//! Whether a request without a good response is rejected or failed.
use crate::settings::Idempotency;

/// The final response to a request without a good response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FinalResponse {
    /// A retry by the client does no harm.
    Reject,
    /// The request may have run, and a retry by the client could run it a second time.
    Fail,
}

/// The final response, by whether some endpoint may have run the request and what its class allows then.
pub(crate) fn final_response(may_have_run: bool, idempotency: Idempotency) -> FinalResponse {
    if !may_have_run || idempotency.allows_client_retry() {
        FinalResponse::Reject
    } else {
        FinalResponse::Fail
    }
}
