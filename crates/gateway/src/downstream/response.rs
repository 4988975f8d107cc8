//! Builds the responses to clients.
use super::request_error::RequestError;
use crate::dispatcher::FinalResponse;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Returns the response to an invalid request.
pub(super) fn error_response(error: RequestError) -> Response<Full<Bytes>> {
    text_response(error.status(), error.text())
}

/// Returns the response to a health check.
pub(super) fn health_response(is_healthy: bool) -> Response<Full<Bytes>> {
    text_response(if is_healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "")
}

/// Returns the response to a request that the dispatcher has finished. `Retry-After` is at most
/// `max_retry_after_ms`, and is omitted if that is `None`.
pub(super) fn final_response(
    response: FinalResponse,
    max_retry_after_ms: Option<f64>,
) -> Response<Full<Bytes>> {
    match response {
        FinalResponse::Served(response) => served_response(response),
        FinalResponse::Rejected { retry_after_ms } => rejection(retry_after_ms, max_retry_after_ms),
        FinalResponse::Failed => text_response(StatusCode::BAD_GATEWAY, "failed"),
    }
}

/// Returns the response to a served request: status 200, with the body and the `Content-Type` of the
/// endpoint's response and no other header.
fn served_response(response: Response<Bytes>) -> Response<Full<Bytes>> {
    let (mut head, body) = response.into_parts();
    let mut response = Response::new(Full::new(body));
    if let Some(content_type) = head.headers.remove(CONTENT_TYPE) {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
}

/// Returns the response to a rejected request. Its status is 429 if the admission library gives a time after
/// which to retry, and 503 otherwise. The library may give a time if a quota is used up, if there is no
/// capacity in time or if the queue is full.
fn rejection(retry_after_ms: Option<f64>, max_retry_after_ms: Option<f64>) -> Response<Full<Bytes>> {
    let status = match retry_after_ms {
        Some(_) => StatusCode::TOO_MANY_REQUESTS,
        None => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = text_response(status, "refused");
    if let (Some(wait_ms), Some(max_ms)) = (retry_after_ms.filter(|ms| *ms > 0.0), max_retry_after_ms) {
        let wait_s = wait_ms.min(max_ms) / 1000.0;
        if let Ok(value) = HeaderValue::from_str(&format!("{wait_s:.3}")) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Returns a response with a status and a text as its body.
fn text_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
