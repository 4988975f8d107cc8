//! Whether a request without a good response is rejected or failed.
use crate::settings::{DedupGroup, Idempotency};

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
    if !may_have_run || client_retry_is_harmless(idempotency) {
        FinalResponse::Reject
    } else {
        FinalResponse::Fail
    }
}

/// Whether a client's retry does no harm, to whichever endpoint it goes, once an attempt may have run.
fn client_retry_is_harmless(idempotency: Idempotency) -> bool {
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::IdempotencyKey { group, .. } => group == DedupGroup::All,
        Idempotency::NonIdempotent => false,
    }
}
