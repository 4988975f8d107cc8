//! Reads the body of a request, within limits on its size and on the time that it takes.
use super::request_error::RequestError;
use crate::byte_budget::BytePermit;
use crate::upstream::MAX_BODY_BYTES;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::Method;
use std::pin::pin;
use tokio::time::{timeout_at, Instant};

/// Returns the declared length of a body, in bytes.
///
/// # Errors
///
/// Fails if `method` allows no body, or if the declared length is too large. The body is not read then.
pub(super) fn declared_length(body: &Incoming, method: &Method) -> Result<usize, RequestError> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(RequestError::BodyTooLarge);
    }
    if *method == Method::GET {
        return Err(RequestError::BodyOnGet);
    }
    // Without an exact length the body may be as long as any.
    Ok(body.size_hint().exact().map_or(MAX_BODY_BYTES, |length| length as usize))
}

/// Reads a body, whose declared length `permit` is for.
///
/// # Errors
///
/// Fails if the body is longer than [`MAX_BODY_BYTES`], truncated, malformed or not complete by `deadline`.
pub(super) async fn read_body(
    body: Incoming,
    permit: BytePermit,
    deadline: Instant,
) -> Result<Bytes, RequestError> {
    let data = timeout_at(deadline, collect(body, permit.length()))
        .await
        .map_err(|_| RequestError::BodyTimedOut)??;
    Ok(permit.attach(data))
}

/// Copies the pieces in which a body arrives into one buffer. A client that writes slowly makes many pieces,
/// and each of them would keep more memory than its bytes take. The buffer has room for `length` bytes, so
/// that it does not grow beyond them.
async fn collect(body: Incoming, length: usize) -> Result<Vec<u8>, RequestError> {
    let mut data = Vec::with_capacity(length);
    let mut body = pin!(Limited::new(body, MAX_BODY_BYTES));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
            true => RequestError::BodyTooLarge,
            false => RequestError::UnreadableBody,
        })?;
        if let Some(piece) = frame.data_ref() {
            data.extend_from_slice(piece);
        }
    }
    Ok(data)
}
