//! A single attempt to serve a request: acquires a connection, writes the request and classifies the
//! outcome.
use super::outcomes::{
    failure_outcome, outcome_if_not_sendable, response_outcome, timeout_outcome, SendCheck,
};
use super::pool::UpstreamPool;
use super::upstream_request::UpstreamRequest;
use super::MAX_BODY_BYTES;
use crate::header_names::{REJECTED, SETTLED};
use crate::http_connection::WriteStatus;
use bytes::Bytes;
use hyper::header::HeaderName;
use hyper::Response;
use irishinge_admission::{EndpointId, Outcome};
use std::cell::Cell;
use std::net::SocketAddr;
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
    /// Makes one attempt, which ends by `deadline`. Once a connection is acquired, the request is written
    /// only if `awaits_response` returns true.
    ///
    /// Dropping the future cancels the attempt, because it closes the connection.
    pub(crate) async fn attempt(
        &self,
        endpoint: EndpointId,
        request: &UpstreamRequest,
        deadline: Instant,
        awaits_response: impl Fn() -> bool,
    ) -> AttemptResult {
        let write_status = Cell::new(None);
        let attempt =
            self.attempt_without_timeout(endpoint, request, deadline, awaits_response, &write_status);
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
        awaits_response: impl Fn() -> bool,
        write_status: &Cell<Option<WriteStatus>>,
    ) -> AttemptResult {
        let connect_failed = || AttemptResult::without_response(Outcome::ConnectFailed);
        let Some(addr) = self.ready_addr(endpoint) else { return connect_failed() };
        let Some(mut pooled) = self.acquire(endpoint, addr).await else { return connect_failed() };
        if let Some(outcome) = self.check_before_send(endpoint, addr, awaits_response) {
            self.release(endpoint, addr, pooled);
            return AttemptResult::without_response(outcome);
        }
        write_status.set(Some(pooled.connection.write_status()));
        match pooled.connection.exchange(request.to_http(deadline), MAX_BODY_BYTES).await {
            Ok(response) => {
                self.release(endpoint, addr, pooled);
                AttemptResult { outcome: outcome_of(&response), response: Some(response) }
            }
            Err(error) => {
                let any_written = pooled.connection.write_status().any_written();
                AttemptResult::without_response(failure_outcome(any_written, &error))
            }
        }
    }

    /// Returns the outcome of an attempt whose request must no longer be sent now that the connection is
    /// acquired, or `None` if the request may be sent.
    ///
    /// A connection may take long to establish. Without this check, a request could be sent although the
    /// endpoint list has expired, the endpoint is draining, or the client has disconnected or has the
    /// response of another attempt (if the settings forbid cancelling). The result is still valid when the
    /// request is written, because nothing is awaited in between.
    fn check_before_send(
        &self,
        endpoint: EndpointId,
        addr: SocketAddr,
        awaits_response: impl Fn() -> bool,
    ) -> Option<Outcome> {
        outcome_if_not_sendable(&SendCheck {
            is_lease_expired: self.is_lease_expired(),
            is_endpoint_ready: self.ready_addr(endpoint) == Some(addr),
            awaits_response: awaits_response(),
        })
    }
}

/// Returns the outcome of an attempt that brought this response.
fn outcome_of(response: &Response<Bytes>) -> Outcome {
    let has_rejected_header = response.headers().get(REJECTED).is_some_and(|value| value == "1");
    response_outcome(response.status(), has_rejected_header)
}
