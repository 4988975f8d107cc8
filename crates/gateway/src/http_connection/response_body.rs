//! Reads the body of a response, within limits on its size and on the memory that all bodies take.
use super::exchange_state::ExchangeState;
use crate::byte_budget::ByteBudget;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use std::pin::pin;

/// The limits on the body of a response.
#[derive(Clone, Copy)]
pub(crate) struct BodyLimit<'a> {
    /// The maximum size of the body, in bytes.
    pub max_bytes: usize,
    /// The budget that the body is counted against until it is dropped; `None` if it is not counted.
    pub budget: Option<&'a ByteBudget>,
}

impl From<usize> for BodyLimit<'_> {
    fn from(max_bytes: usize) -> Self {
        BodyLimit { max_bytes, budget: None }
    }
}

/// Reads a body. If its budget has no room, reads nothing until there is some. Returns `None` if the body is
/// too large, truncated or malformed.
pub(super) async fn read_body(body: Incoming, limit: BodyLimit<'_>, state: &ExchangeState) -> Option<Bytes> {
    // A body is not read at all if its declared length is too large.
    if body.size_hint().lower() > limit.max_bytes as u64 {
        return None;
    }
    let exact_length = body.size_hint().exact().map(|length| length as usize);
    let Some(budget) = limit.budget else {
        return collect(body, limit.max_bytes, exact_length).await.map(Bytes::from);
    };
    // The time until there is room is not the server's: it may have written the whole response.
    state.awaits_memory.set(true);
    let mut permit = budget.acquire(exact_length.unwrap_or(limit.max_bytes)).await;
    state.awaits_memory.set(false);
    let data = collect(body, limit.max_bytes, exact_length).await?;
    permit.shrink_to(data.len());
    Some(permit.attach(data))
}

/// Copies the pieces in which a body arrives into one buffer, which has the size of the body if that is
/// declared. A server that writes slowly makes many pieces, and each of them would keep more memory than its
/// bytes take.
async fn collect(body: Incoming, max_bytes: usize, exact_length: Option<usize>) -> Option<Vec<u8>> {
    let mut data = Vec::with_capacity(exact_length.unwrap_or_default());
    let mut body = pin!(Limited::new(body, max_bytes));
    while let Some(frame) = body.frame().await {
        if let Some(piece) = frame.ok()?.data_ref() {
            data.extend_from_slice(piece);
        }
    }
    data.shrink_to_fit();
    Some(data)
}
