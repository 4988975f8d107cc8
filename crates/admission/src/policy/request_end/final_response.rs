//! Decides whether a request without a good response is rejected or failed.
use crate::settings::{DedupGroup, Idempotency};

/// The final response to a request without a good response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FinalResponse {
    /// The request is rejected: its client may safely retry.
    Reject,
    /// The request fails: it may have run, and a retry by its client could run it a second time.
    Fail,
}

/// Returns the final response to a request without a good response. `may_have_run` tells whether any endpoint
/// may have run the request, and `idempotency` whether its class allows it to run again.
pub(crate) fn final_response(may_have_run: bool, idempotency: Idempotency) -> FinalResponse {
    if !may_have_run || client_retry_is_harmless(idempotency) {
        FinalResponse::Reject
    } else {
        FinalResponse::Fail
    }
}

/// Returns whether a retry by the client does no harm after an attempt may have run, whichever endpoint the
/// retry is sent to. A class with idempotency keys is judged as if the client retries within the key's
/// window.
fn client_retry_is_harmless(idempotency: Idempotency) -> bool {
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::IdempotencyKey { group, .. } => group == DedupGroup::All,
        Idempotency::NonIdempotent => false,
    }
}
