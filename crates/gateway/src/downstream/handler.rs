//! The handler of requests, which takes a request from its head to its response.
use super::connection::{Connection, ConnectionRole, ConnectionStage};
use super::disconnect_guard::NotifyDisconnectOnDrop;
use super::request_body::{declared_length, read_body};
use super::request_error::RequestError;
use super::request_parsing::{forwarded_head, parse_request};
use super::request_rules::{body_deadline, close_reason, BodyDeadlineInput, CloseInput};
use super::response::{error_response, final_response, health_response};
use super::server_phase::{PhaseState, ServerPhase};
use super::settings::DownstreamSettings;
use crate::byte_budget::{ByteBudget, BytePermit};
use crate::dispatcher::{Dispatcher, FinalResponse};
use crate::logging::target;
use crate::resources::Metrics;
use crate::upstream::{ForwardedHead, UpstreamRequest};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::Response;
use irishinge_admission::{RequestId, Settings};
use std::convert::Infallible;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The path of health checks.
const HEALTH_PATH: &str = "/healthz";

/// The result of reading the body of a request.
enum ReceivedBody {
    /// The whole body, which may be empty.
    Complete(Bytes),
    /// The request is rejected before its body has completely arrived: the server ended, or there is no
    /// memory left for the body.
    CutOff,
}

/// Handles the requests of all connections.
pub(super) struct RequestHandler {
    /// The dispatcher, which sends valid requests to endpoints or rejects them.
    dispatcher: Rc<Dispatcher>,
    /// The admission library's settings.
    settings: Settings,
    /// The longest `Retry-After`, in milliseconds; `None` if responses do not carry the header.
    max_retry_after_ms: Option<f64>,
    /// The phase of the server.
    phase: PhaseState,
    /// Limits the memory that heads and bodies of all requests take.
    request_budget: Rc<ByteBudget>,
    /// Counts responses by their kind.
    metrics: Rc<Metrics>,
}

impl RequestHandler {
    /// Creates a handler that passes valid requests to `dispatcher`.
    pub(super) fn new(
        dispatcher: Rc<Dispatcher>,
        settings: DownstreamSettings,
        metrics: Rc<Metrics>,
    ) -> Self {
        let DownstreamSettings { admission, sends_retry_after, request_budget, .. } = settings;
        let max_retry_after_ms = sends_retry_after.then_some(admission.max_retry_after_ms);
        RequestHandler {
            dispatcher,
            settings: admission,
            max_retry_after_ms,
            phase: PhaseState::new(),
            request_budget,
            metrics,
        }
    }

    /// Returns the phase of the server.
    pub(super) fn phase(&self) -> &PhaseState {
        &self.phase
    }

    /// Handles one request, and decides whether its connection stays open after the response.
    pub(super) async fn respond(
        &self,
        connection: &Connection,
        request: hyper::Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        connection.on_request_head();
        let handled = self.handle(request, connection).await;
        let closes = close_reason(&CloseInput {
            is_invalid: handled.is_err(),
            role: connection.role(),
            is_flooded: connection.is_flooded(),
            is_cut_off: connection.is_request_cut_off(),
            phase: self.phase.get(),
        })
        .is_some();
        let mut response = handled.unwrap_or_else(|error| {
            self.metrics.requests_invalid.increment();
            error_response(error)
        });
        if closes {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        connection.on_response(if closes { ConnectionStage::InUseOrClosing } else { ConnectionStage::Idle });
        Ok(response)
    }

    /// Parses the head of a request, reads its body, dispatches it and waits for its response. A health check
    /// is answered at once. A request on a connection beyond the limit is rejected once its head is parsed,
    /// and one that has not been dispatched when the server ends is rejected then.
    async fn handle(
        &self,
        request: hyper::Request<Incoming>,
        connection: &Connection,
    ) -> Result<Response<Full<Bytes>>, RequestError> {
        let received_at = Instant::now();
        let (head, body) = request.into_parts();
        if head.uri.path() == HEALTH_PATH {
            return Ok(health_response(self.is_healthy()));
        }
        let mut request = parse_request(&head, &self.settings, self.dispatcher.names())?;
        if connection.role() == ConnectionRole::Rejecting {
            return Ok(self.rejection());
        }
        let forwarded = forwarded_head(&head)?;
        // Without this, every client that stops within a body would hold all fields of its head, and the
        // buffer that they were read into.
        drop(head);
        let Some(head_permit) = self.acquire_memory(forwarded.memory_bytes(), &body, connection) else {
            return Ok(self.rejection());
        };
        let time_left_ms = request.time_left_ms;
        let body = match self.receive_body(&forwarded, body, connection, received_at, time_left_ms).await? {
            ReceivedBody::Complete(body) => body,
            ReceivedBody::CutOff => return Ok(self.rejection()),
        };
        connection.begin_request().await;
        // Nothing is awaited between this check and the dispatch, so that no request is dispatched once the
        // dispatcher has responded to all.
        if self.phase.get() == ServerPhase::Ending {
            return Ok(self.rejection());
        }
        request.time_left_ms -= received_at.elapsed().as_secs_f64() * 1000.0;
        let id = request.id;
        let response =
            self.dispatcher.on_request(request, UpstreamRequest::new(forwarded, body, head_permit));
        let response = response.ok_or(RequestError::DuplicateCallId)?;
        let response = self.wait_for_response(id, response, connection).await;
        Ok(self.counted_response(response))
    }

    /// Reads the body of a request whose head was received at `received_at` and whose client waits for
    /// `time_left_ms` from then on. Stops when the server ends, and reads nothing if there is no memory for
    /// it.
    async fn receive_body(
        &self,
        head: &ForwardedHead,
        body: Incoming,
        connection: &Connection,
        received_at: Instant,
        time_left_ms: f64,
    ) -> Result<ReceivedBody, RequestError> {
        if body.is_end_stream() {
            return Ok(ReceivedBody::Complete(Bytes::new()));
        }
        let length = declared_length(&body, &head.method)?;
        let Some(permit) = self.acquire_memory(length, &body, connection) else {
            return Ok(ReceivedBody::CutOff);
        };
        let deadline = body_deadline(&BodyDeadlineInput {
            stage: connection.stage(),
            first_request_deadline: connection.first_request_deadline(),
            received_at,
            time_left_ms,
        });
        tokio::select! {
            body = read_body(body, permit, deadline) => Ok(ReceivedBody::Complete(body?)),
            () = self.phase.ending() => {
                connection.set_request_cut_off();
                Ok(ReceivedBody::CutOff)
            }
        }
    }

    /// Returns a permit for `bytes` of memory. If there is no memory left, returns `None`, and the request is
    /// rejected; the connection then closes if its body has not been read.
    fn acquire_memory(&self, bytes: usize, body: &Incoming, connection: &Connection) -> Option<BytePermit> {
        let permit = self.request_budget.try_acquire(bytes);
        if permit.is_none() {
            tracing::warn!(
                target: target::DOWNSTREAM,
                bytes,
                used = self.request_budget.used(),
                "request rejected: no memory left for it"
            );
            self.metrics.requests_rejected_for_memory.increment();
            if !body.is_end_stream() {
                connection.set_request_cut_off();
            }
        }
        permit
    }

    /// Returns whether a load balancer should send requests to this gateway.
    fn is_healthy(&self) -> bool {
        self.dispatcher.has_ready_endpoint() && self.phase.get() == ServerPhase::Serving
    }

    /// Returns the response to a request that is rejected without being dispatched.
    fn rejection(&self) -> Response<Full<Bytes>> {
        self.counted_response(FinalResponse::Rejected { retry_after_ms: None })
    }

    /// Returns the response to a request, and counts it.
    fn counted_response(&self, response: FinalResponse) -> Response<Full<Bytes>> {
        match response {
            FinalResponse::Served(_) => self.metrics.responses_served.increment(),
            FinalResponse::Rejected { .. } => self.metrics.responses_rejected.increment(),
            FinalResponse::Failed => self.metrics.responses_failed.increment(),
        }
        final_response(response, self.max_retry_after_ms)
    }

    /// Waits for the response to a dispatched request. Never returns if the client disconnects first.
    async fn wait_for_response(
        &self,
        id: RequestId,
        response: oneshot::Receiver<FinalResponse>,
        connection: &Connection,
    ) -> FinalResponse {
        // This future is dropped when the client disconnects. Without the notification on drop, the
        // dispatcher would start further attempts although no client waits for the response.
        let mut disconnect_guard = NotifyDisconnectOnDrop::new(&self.dispatcher, id);
        // A response that arrives at the same moment as a disconnect may be dropped: the client can no
        // longer receive it.
        let response = tokio::select! {
            response = response => response,
            () = connection.client_disconnected() => connection.abort().await,
        };
        disconnect_guard.disarm();
        // The dispatcher drops the channel without a response only if it is dropped itself: at the latest, it
        // sends the fallback response.
        response.unwrap_or(FinalResponse::Failed)
    }
}
