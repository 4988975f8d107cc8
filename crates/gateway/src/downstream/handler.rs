//! Takes a request from its head to its response.
use super::connection::{Connection, ConnectionRole, ConnectionStage};
use super::request::{parse_request, upstream_request};
use super::request_body::read_body;
use super::request_error::RequestError;
use super::response::{error_response, final_response, health_response};
use super::settings::DownstreamSettings;
use crate::clock::duration_from_ms;
use crate::dispatcher::{Dispatcher, FinalResponse};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::Response;
use irishinge_admission::{RequestId, Settings};
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The path of health checks.
const HEALTH_PATH: &str = "/healthz";
/// The body of any request but a connection's first must be here within this.
const BODY_TIMEOUT: Duration = Duration::from_millis(2000);

/// Handles the requests of all connections.
pub(super) struct RequestHandler {
    dispatcher: Rc<Dispatcher>,
    settings: Settings,
    /// The longest `Retry-After`, in milliseconds; none where responses carry none.
    max_retry_after_ms: Option<f64>,
    is_draining: Cell<bool>,
}

impl RequestHandler {
    /// A handler that has requests dispatched by `dispatcher`.
    pub(super) fn new(dispatcher: Rc<Dispatcher>, settings: DownstreamSettings) -> Self {
        let DownstreamSettings { admission, sends_retry_after, .. } = settings;
        let max_retry_after_ms = sends_retry_after.then_some(admission.max_retry_after_ms);
        RequestHandler { dispatcher, settings: admission, max_retry_after_ms, is_draining: Cell::new(false) }
    }

    /// From now on each response closes its connection, and health checks fail.
    pub(super) fn start_draining(&self) {
        self.is_draining.set(true);
    }

    /// Handles one request and decides whether its connection goes on.
    pub(super) async fn respond(
        &self,
        connection: &Connection,
        request: hyper::Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let handled = self.handle(request, connection).await;
        // What comes after a malformed request, its body above all, cannot be read as another request.
        let closes = handled.is_err()
            || connection.role() == ConnectionRole::Refusing
            || connection.is_flooded()
            || self.is_draining.get();
        let mut response = handled.unwrap_or_else(error_response);
        if closes {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        connection.enter(if closes { ConnectionStage::Active } else { ConnectionStage::Idle });
        Ok(response)
    }

    /// Takes a request through its steps: head, body, dispatch, response.
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
        if connection.role() == ConnectionRole::Refusing {
            let refusal = FinalResponse::Rejected { retry_after_ms: None };
            return Ok(final_response(refusal, self.max_retry_after_ms));
        }
        let body = if body.is_end_stream() {
            Bytes::new()
        } else {
            let deadline = body_deadline(connection, received_at, request.time_left_ms);
            read_body(body, &head.method, deadline).await?
        };
        connection.begin_request().await;
        request.time_left_ms -= received_at.elapsed().as_secs_f64() * 1000.0;
        let id = request.id;
        let response = self.dispatcher.on_request(request, upstream_request(head, body)?);
        let response = response.ok_or(RequestError::DuplicateCallId)?;
        let response = self.wait_for_response(id, response, connection).await;
        Ok(final_response(response, self.max_retry_after_ms))
    }

    /// Whether a load balancer should send requests here.
    fn is_healthy(&self) -> bool {
        self.dispatcher.has_ready_endpoint() && !self.is_draining.get()
    }

    /// Waits for the response to a request that was dispatched, or for its client to leave.
    async fn wait_for_response(
        &self,
        id: RequestId,
        response: oneshot::Receiver<FinalResponse>,
        connection: &Connection,
    ) -> FinalResponse {
        // hyper drops this future when the client closes the connection.
        let mut cancellation = CancelOnDrop { dispatcher: &self.dispatcher, request: Some(id) };
        let response = tokio::select! {
            response = response => response,
            () = connection.client_left() => connection.abandon().await,
        };
        cancellation.disarm();
        response.unwrap_or(FinalResponse::Failed)
    }
}

/// When the body of a request must be here.
fn body_deadline(connection: &Connection, received_at: Instant, time_left_ms: f64) -> Instant {
    let deadline = match connection.stage() {
        ConnectionStage::AwaitingFirstRequest => connection.first_request_deadline(),
        _ => received_at + BODY_TIMEOUT,
    };
    deadline.min(received_at + duration_from_ms(time_left_ms))
}

/// Tells the dispatcher, when dropped before the response is here, that its client has gone.
struct CancelOnDrop<'a> {
    dispatcher: &'a Rc<Dispatcher>,
    /// None once there is a response.
    request: Option<RequestId>,
}

impl CancelOnDrop<'_> {
    fn disarm(&mut self) {
        self.request = None;
    }
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            self.dispatcher.on_client_gone(request);
        }
    }
}
