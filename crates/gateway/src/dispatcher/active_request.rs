//! The state of an active request: the channel for its response, its deadlines and its attempts.
use super::final_response::FinalResponse;
use super::request_deadlines::RequestDeadlines;
use crate::upstream::{AttemptResult, UpstreamRequest};
use hyper::Method;
use irishinge_admission::{AttemptEnd, EndpointId, Event, Outcome, RequestId};
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Sends a request's final response. Sending consumes the responder, so there can be no second response.
pub(super) struct Responder(oneshot::Sender<FinalResponse>);

impl Responder {
    /// Sends the final response.
    pub(super) fn respond(self, response: FinalResponse) {
        // Fails only if the client has disconnected, which the client's connection reports.
        let _ = self.0.send(response);
    }
}

/// An attempt in flight.
pub(super) struct Attempt {
    /// The endpoint that the attempt is made to.
    pub(super) endpoint: EndpointId,
    /// When the attempt was started, which is before its connection was acquired.
    pub(super) started_at: Instant,
    /// Aborting the task closes the attempt's connection, which cancels the request at the endpoint.
    pub(super) task: AbortHandle,
}

impl Attempt {
    /// Returns the time since the attempt was started, in milliseconds.
    pub(super) fn elapsed_ms(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }
}

/// A request that waits for its response or has attempts in flight.
pub(super) struct ActiveRequest {
    /// `None` once the request has its response or its client has disconnected.
    responder: Option<Responder>,
    /// The request as each attempt sends it.
    pub(super) upstream_request: Rc<UpstreamRequest>,
    /// When attempts time out at the latest.
    deadlines: RequestDeadlines,
    /// Attempts in the order in which the admission library asked for them; `None` once an attempt has ended,
    /// or if it was not started.
    attempts: Vec<Option<Attempt>>,
}

impl ActiveRequest {
    /// Creates an active request without attempts.
    pub(super) fn new(
        responder: oneshot::Sender<FinalResponse>,
        upstream_request: UpstreamRequest,
        deadlines: RequestDeadlines,
    ) -> Self {
        ActiveRequest {
            responder: Some(Responder(responder)),
            upstream_request: Rc::new(upstream_request),
            deadlines,
            attempts: Vec::new(),
        }
    }

    /// Returns whether the request still waits for its response.
    pub(super) fn awaits_response(&self) -> bool {
        self.responder.is_some()
    }

    /// Returns whether the request neither waits for its response nor has an attempt in flight.
    pub(super) fn is_finished(&self) -> bool {
        self.responder.is_none() && self.attempts.iter().all(Option::is_none)
    }

    /// Returns when the fallback response is due.
    pub(super) fn fallback_at(&self) -> Instant {
        self.deadlines.fallback_at()
    }

    /// Takes the responder. Returns `None` if it was taken before.
    pub(super) fn take_responder(&mut self) -> Option<Responder> {
        self.responder.take()
    }

    /// Returns whether any attempt was ever added, even one that was not started, or whose request was never
    /// written to a connection.
    pub(super) fn was_attempted(&self) -> bool {
        !self.attempts.is_empty()
    }

    /// Returns whether an attempt was ever added and the request has an effect, by its method.
    pub(super) fn may_run_with_effect(&self) -> bool {
        self.was_attempted() && self.upstream_request.head.method != Method::GET
    }

    /// Returns the number that the next attempt gets, from 0.
    pub(super) fn next_attempt_number(&self) -> usize {
        self.attempts.len()
    }

    /// Adds the next attempt; `None` if it is not started.
    pub(super) fn push_attempt(&mut self, attempt: Option<Attempt>) {
        self.attempts.push(attempt);
    }

    /// Takes an attempt that ends now. Returns `None` if the attempt has ended before, so that each attempt
    /// is reported once, whether its response or its cancellation comes first.
    pub(super) fn take_attempt(&mut self, number: usize) -> Option<Attempt> {
        self.attempts.get_mut(number)?.take()
    }

    /// Returns when an attempt that is started at `started_at` times out, as
    /// [`RequestDeadlines::attempt_deadline`] computes it.
    pub(super) fn attempt_deadline(&self, started_at: Instant, timeout_ms: f64) -> Instant {
        self.deadlines.attempt_deadline(started_at, timeout_ms)
    }
}

/// An attempt that has ended.
pub(super) struct EndedAttempt {
    /// The request that the attempt was made for.
    pub(super) request: RequestId,
    /// The attempt's number among those of its request, from 0.
    pub(super) number: usize,
    /// The endpoint that the attempt was for.
    pub(super) endpoint: EndpointId,
    /// The time from the attempt's start to its end, in milliseconds. It includes the time to establish a
    /// connection, and is 0 if the attempt was not started because its request no longer waited for a
    /// response.
    pub(super) took_ms: f64,
    /// Whether the request no longer waits for a response: it has one, perhaps from this attempt, or its
    /// client has disconnected.
    pub(super) request_closed: bool,
}

impl EndedAttempt {
    /// Returns the event that reports the attempt's end to the admission library.
    pub(super) fn into_event(self, result: &AttemptResult) -> Event {
        Event::AttemptEnded(AttemptEnd {
            request: self.request,
            attempt: self.number as u32,
            endpoint: self.endpoint,
            outcome: result.outcome,
            took_ms: self.took_ms,
            request_closed: self.request_closed,
            true_units: result.true_units(),
        })
    }

    /// Returns the event for an attempt that ended without a response.
    pub(super) fn into_event_without_response(self, outcome: Outcome) -> Event {
        self.into_event(&AttemptResult::without_response(outcome))
    }
}
