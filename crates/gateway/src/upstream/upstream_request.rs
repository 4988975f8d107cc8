//! A client's request as it is sent to endpoints.
use crate::byte_budget::BytePermit;
use crate::header_names::{BUDGET, CALL_ID, IDEMPOTENCY_KEY};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Method, Request, Uri};
use tokio::time::Instant;

/// The parts of the head of a client's request that are sent to an endpoint. Its other headers, among them
/// `X-Call-Class`, `X-Contract` and `X-Metering`, are not forwarded.
pub(crate) struct ForwardedHead {
    /// The method, unchanged.
    pub method: Method,
    /// The path and query, unchanged.
    pub uri: Uri,
    /// The `Host` header, unchanged.
    pub host: HeaderValue,
    /// The `X-Call-Id` header, unchanged.
    pub call_id: HeaderValue,
    /// The `Idempotency-Key` header, unchanged.
    pub idempotency_key: Option<HeaderValue>,
    /// The `Content-Type` header, unchanged.
    pub content_type: Option<HeaderValue>,
}

/// How often the bytes of a head are in memory while its request is in progress: as they are kept, and in the
/// write buffers of the connections of two attempts.
const HEAD_COPIES: usize = 3;
/// The length of a head up to which the connection that it was written to is kept, in bytes. The connection's
/// write buffer stays as large as the longest head.
const MAX_KEPT_HEAD_BYTES: usize = 1024;

impl ForwardedHead {
    /// Returns the length of what varies in the head, in bytes.
    fn length(&self) -> usize {
        let values = [
            Some(&self.host),
            Some(&self.call_id),
            self.idempotency_key.as_ref(),
            self.content_type.as_ref(),
        ];
        let path = self.uri.path_and_query().map_or(0, |path| path.as_str().len());
        path + values.iter().flatten().map(|value| value.len()).sum::<usize>()
    }

    /// Returns the memory that the head may take while its request is in progress, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        HEAD_COPIES * self.length()
    }
}

/// A client's request as it is sent to an endpoint. Each attempt gets an `X-Budget` header of its own.
pub(crate) struct UpstreamRequest {
    /// The forwarded parts of the head.
    pub head: ForwardedHead,
    /// The body, unchanged.
    pub body: Bytes,
    /// The permit for the memory of the head, which is returned when the request is dropped.
    _head_permit: BytePermit,
}

impl UpstreamRequest {
    /// Creates a request. `head_permit` is for the memory of the head.
    pub(crate) fn new(head: ForwardedHead, body: Bytes, head_permit: BytePermit) -> Self {
        UpstreamRequest { head, body, _head_permit: head_permit }
    }

    /// Returns whether a connection that carried the request is worth the memory of its write buffer.
    pub(super) fn leaves_small_buffer(&self) -> bool {
        self.head.length() <= MAX_KEPT_HEAD_BYTES
    }

    /// Creates the HTTP request of one attempt. The `X-Budget` header is the time that remains until
    /// `deadline`, in seconds.
    pub(super) fn to_http(&self, deadline: Instant) -> Request<Full<Bytes>> {
        let seconds_left = deadline.saturating_duration_since(Instant::now()).as_secs_f64();
        let mut request = Request::new(Full::new(self.body.clone()));
        let head = &self.head;
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = head.uri.clone();
        let headers = request.headers_mut();
        headers.insert(HOST, head.host.clone());
        headers.insert(CALL_ID, head.call_id.clone());
        if let Some(key) = &head.idempotency_key {
            headers.insert(IDEMPOTENCY_KEY, key.clone());
        }
        if let Some(content_type) = &head.content_type {
            headers.insert(CONTENT_TYPE, content_type.clone());
        }
        if let Ok(budget) = HeaderValue::from_str(&format!("{seconds_left:.3}")) {
            headers.insert(BUDGET, budget);
        }
        request
    }
}
