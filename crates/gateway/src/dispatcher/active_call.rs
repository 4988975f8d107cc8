//! A request in work: the right to answer it, and its attempts.
use crate::clock::duration_from_ms;
use crate::upstream::{AttemptResult, UpstreamRequest};
use bytes::Bytes;
use hyper::Response;
use irishinge_admission::{AttemptEnd, EndpointId, Event, Outcome, RequestId};
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// The final response to a request.
pub(crate) enum FinalResponse {
    /// Served with an endpoint's response.
    Served(Response<Bytes>),
    /// Rejected: trying again is harmless.
    Rejected {
        /// When to come back.
        retry_after_ms: Option<f64>,
    },
    /// Failed: it may have been processed or not.
    Failed,
}

/// The right to give a request its final response. Using it consumes it, so there can be no second response.
pub(super) struct Responder(oneshot::Sender<FinalResponse>);

impl Responder {
    /// Gives the request its final response.
    pub(super) fn respond(self, response: FinalResponse) {
        // A client that has gone does not take it, and is reported by its connection.
        let _ = self.0.send(response);
    }
}

/// An attempt in flight.
pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    pub(super) sent_at: Instant,
    /// Ends the attempt, and with it its connection, which is how an endpoint learns of it.
    pub(super) task: AbortHandle,
}

impl Attempt {
    pub(super) fn elapsed_ms(&self) -> f64 {
        self.sent_at.elapsed().as_secs_f64() * 1000.0
    }
}

/// A request that has no final response, or that has attempts in flight.
pub(super) struct ActiveCall {
    /// None once the request has its final response or its client has gone.
    responder: Option<Responder>,
    pub(super) request: Rc<UpstreamRequest>,
    deadline: Instant,
    /// By index; none where the attempt has ended.
    attempts: Vec<Option<Attempt>>,
}

impl ActiveCall {
    /// A request that must have its response by `deadline`.
    pub(super) fn new(
        responder: oneshot::Sender<FinalResponse>,
        request: UpstreamRequest,
        deadline: Instant,
    ) -> Self {
        ActiveCall {
            responder: Some(Responder(responder)),
            request: Rc::new(request),
            deadline,
            attempts: Vec::new(),
        }
    }

    /// Whether the request still waits for its response.
    pub(super) fn awaits_response(&self) -> bool {
        self.responder.is_some()
    }

    /// Whether nothing is left to do: it does not wait for its response, and has no attempt in flight.
    pub(super) fn is_over(&self) -> bool {
        self.responder.is_none() && self.attempts.iter().all(Option::is_none)
    }

    /// Takes the right to answer the request; none where it was used.
    pub(super) fn take_responder(&mut self) -> Option<Responder> {
        self.responder.take()
    }

    /// Whether any attempt was ever begun.
    pub(super) fn was_attempted(&self) -> bool {
        !self.attempts.is_empty()
    }

    /// The index of the next attempt.
    pub(super) fn next_attempt_index(&self) -> usize {
        self.attempts.len()
    }

    /// Adds the next attempt; none where it ended before it was sent.
    pub(super) fn push_attempt(&mut self, attempt: Option<Attempt>) {
        self.attempts.push(attempt);
    }

    /// Takes an attempt that has ended; none where it had ended before.
    pub(super) fn take_attempt(&mut self, index: usize) -> Option<Attempt> {
        self.attempts.get_mut(index)?.take()
    }

    /// Until when an attempt that is sent now may last; a time-out of 0 means that only the request bounds it.
    pub(super) fn attempt_deadline(&self, sent_at: Instant, timeout_ms: f64) -> Instant {
        if timeout_ms == 0.0 {
            self.deadline
        } else {
            self.deadline.min(sent_at + duration_from_ms(timeout_ms))
        }
    }
}

/// An attempt that has ended.
pub(super) struct EndedAttempt {
    pub(super) request: RequestId,
    pub(super) index: usize,
    pub(super) endpoint: EndpointId,
    pub(super) took_ms: f64,
    /// Whether the request has its final response, this attempt's included.
    pub(super) request_answered: bool,
}

impl EndedAttempt {
    /// What the decision library is told of it.
    pub(super) fn into_event(self, result: &AttemptResult) -> Event {
        Event::AttemptEnded(AttemptEnd {
            request: self.request,
            attempt: self.index as u32,
            endpoint: self.endpoint,
            outcome: result.outcome,
            took_ms: self.took_ms,
            closed: self.request_answered,
            true_units: result.true_units(),
            metered_percent: None,
            load: result.load(),
        })
    }

    /// The event of an attempt that ended without a response.
    pub(super) fn into_event_without_response(self, outcome: Outcome) -> Event {
        self.into_event(&AttemptResult::without_response(outcome))
    }
}
