//! A single attempt to serve a request: acquires a connection, writes the request and classifies the
//! outcome.
use super::outcomes::{
    failure_outcome, refusal_outcome, response_outcome, timeout_outcome, write_refusal, RequestStatus,
    WriteCheck, WriteRefusal,
};
use super::pool::UpstreamPool;
use super::upstream_request::UpstreamRequest;
use crate::header_names::{REJECTED, SETTLED};
use crate::http_connection::{ExchangeError, WriteStatus};
use crate::logging::target;
use bytes::Bytes;
use hyper::header::HeaderName;
use hyper::Response;
use irishinge_admission::{EndpointId, Outcome};
use std::cell::Cell;
use tokio::time::{timeout_at, Instant};

/// The result of an attempt.
pub(crate) struct AttemptResult {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The endpoint's complete response, if there was one.
    pub response: Option<Response<Bytes>>,
}

impl AttemptResult {
    /// Creates a result without a response.
    pub(crate) fn without_response(outcome: Outcome) -> Self {
        AttemptResult { outcome, response: None }
    }

    /// Returns the units that the request really used, or `None` if the response has no valid `X-Settled`
    /// header.
    pub(crate) fn true_units(&self) -> Option<f64> {
        let text = self.header(SETTLED)?;
        text.trim().parse().ok().filter(|units: &f64| units.is_finite() && *units > 0.0)
    }

    /// Returns the value of a response header, or `None` if the response does not have it exactly once.
    fn header(&self, name: HeaderName) -> Option<&str> {
        let mut values = self.response.as_ref()?.headers().get_all(name).iter();
        // A repeated header is ignored, because it does not say which of its values counts.
        values.next().filter(|_| values.next().is_none())?.to_str().ok()
    }
}

impl UpstreamPool {
    /// Makes one attempt, which ends by `deadline`. `request_status` is asked before each write of the
    /// request, which may come long after the call: a connection may take long to establish, and the endpoint
    /// may read slowly.
    ///
    /// Dropping the future cancels the attempt, because it closes the connection.
    pub(crate) async fn attempt(
        &self,
        endpoint: EndpointId,
        request: &UpstreamRequest,
        deadline: Instant,
        request_status: impl Fn() -> RequestStatus,
    ) -> AttemptResult {
        let write_status = Cell::new(None);
        let attempt =
            self.attempt_without_timeout(endpoint, request, deadline, request_status, &write_status);
        match timeout_at(deadline, attempt).await {
            Ok(result) => result,
            Err(_) => {
                let any_written = write_status.take().is_some_and(|status: WriteStatus| status.any_written());
                AttemptResult::without_response(timeout_outcome(any_written))
            }
        }
    }

    /// Makes one attempt. Sets `write_status` before the request is written, for a caller that drops the
    /// future when the attempt times out.
    async fn attempt_without_timeout(
        &self,
        endpoint: EndpointId,
        request: &UpstreamRequest,
        deadline: Instant,
        request_status: impl Fn() -> RequestStatus,
        write_status: &Cell<Option<WriteStatus>>,
    ) -> AttemptResult {
        let connect_failed = || AttemptResult::without_response(Outcome::ConnectFailed);
        let Some(instance) = self.ready_instance(endpoint) else { return connect_failed() };
        let Some(mut pooled) = self.acquire(endpoint, instance.addr).await else { return connect_failed() };
        write_status.set(Some(pooled.connection.write_status()));
        let refusal = Cell::new(None);
        let may_write = |progress| {
            refusal.set(write_refusal(&WriteCheck {
                progress,
                is_lease_expired: self.is_lease_expired(),
                is_endpoint_ready: self.ready_instance(endpoint) == Some(instance),
                is_timed_out: Instant::now() >= deadline,
                request: request_status(),
            }));
            refusal.get().is_none()
        };
        let exchange = pooled.connection.exchange(request.to_http(deadline), self.body_limit(), may_write);
        let result = exchange.await;
        let any_written = pooled.connection.write_status().any_written();
        match result {
            Ok(response) => {
                self.release_if_small(endpoint, instance, pooled, request);
                AttemptResult { outcome: outcome_of(&response), response: Some(response) }
            }
            Err(error) => {
                if matches!(error, ExchangeError::WriteNotPermitted) {
                    self.release(endpoint, instance, pooled);
                }
                let outcome = match refusal.get() {
                    Some(refusal) => {
                        log_refusal(endpoint, refusal, any_written);
                        refusal_outcome(refusal, any_written)
                    }
                    None => failure_outcome(any_written, &error),
                };
                AttemptResult::without_response(outcome)
            }
        }
    }
}

/// Logs that a request was not written, or not written on. A request that no longer waits for its response is
/// not worth a line.
fn log_refusal(endpoint: EndpointId, refusal: WriteRefusal, any_written: bool) {
    if refusal != WriteRefusal::ResponseNotAwaited {
        tracing::warn!(
            target: target::UPSTREAM,
            endpoint = %format_args!("{:016x}", endpoint.0),
            reason = %refusal,
            any_written,
            "attempt not written: it was decided earlier and may not be made any more"
        );
    }
}

/// Returns the outcome of an attempt that brought this response.
fn outcome_of(response: &Response<Bytes>) -> Outcome {
    let has_rejected_header = response.headers().get(REJECTED).is_some_and(|value| value == "1");
    response_outcome(response.status(), has_rejected_header)
}
