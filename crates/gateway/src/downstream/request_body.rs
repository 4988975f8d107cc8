//! Reads the body of a request, within limits on its size and on the time that it takes.
use super::request_error::RequestError;
use crate::upstream::MAX_BODY_BYTES;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::Method;
use tokio::time::{timeout_at, Instant};

/// Reads the body of a request that declares one, up to [`MAX_BODY_BYTES`].
///
/// # Errors
///
/// Fails if `method` allows no body, or if the body is too large, truncated, malformed or not complete by
/// `deadline`.
pub(super) async fn read_body(
    body: Incoming,
    method: &Method,
    deadline: Instant,
) -> Result<Bytes, RequestError> {
    // A body whose declared length is too large is rejected before it is read.
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(RequestError::BodyTooLarge);
    }
    if *method == Method::GET {
        return Err(RequestError::BodyOnGet);
    }
    let body = timeout_at(deadline, Limited::new(body, MAX_BODY_BYTES).collect()).await;
    let body = body.map_err(|_| RequestError::BodyTimedOut)?;
    let body = body.map_err(|error| match error.is::<LengthLimitError>() {
        true => RequestError::BodyTooLarge,
        false => RequestError::UnreadableBody,
    })?;
    Ok(body.to_bytes())
}
