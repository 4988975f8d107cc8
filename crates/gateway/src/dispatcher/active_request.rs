//! The state of an active call: the channel for its response, and its attempts.
use super::final_response::FinalResponse;
use super::request_deadlines::CallDeadlines;
use crate::upstream::{AttemptResult, UpstreamRequest};
use irishinge_admission::{AttemptEnd, EndpointId, Event, Outcome, RequestId};
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Sends a call's final response. Sending consumes it, so that there can be no second response.
pub(super) struct Responder(oneshot::Sender<FinalResponse>);

impl Responder {
    /// Sends the final response.
    pub(super) fn respond(self, response: FinalResponse) {
        // Fails only if the client has disconnected, which its connection reports.
        let _ = self.0.send(response);
    }
}

/// An attempt in flight.
pub(super) struct Attempt {
    /// Where it was sent.
    pub(super) endpoint: EndpointId,
    /// When it was started.
    pub(super) sent_at: Instant,
    /// Aborting the task closes the attempt's connection, which cancels the request at the endpoint.
    pub(super) task: AbortHandle,
}

impl Attempt {
    /// Time since it was started, in milliseconds.
    pub(super) fn elapsed_ms(&self) -> f64 {
        self.sent_at.elapsed().as_secs_f64() * 1000.0
    }
}

/// A call that waits for its response or has attempts in flight.
pub(super) struct ActiveCall {
    /// `None` once the call has its response or its client has disconnected.
    responder: Option<Responder>,
    /// What each attempt sends.
    pub(super) request: Rc<UpstreamRequest>,
    deadlines: CallDeadlines,
    /// Indexed in the order sent; `None` if the attempt has ended.
    attempts: Vec<Option<Attempt>>,
}

impl ActiveCall {
    /// Creates a call without attempts.
    pub(super) fn new(
        responder: oneshot::Sender<FinalResponse>,
        request: UpstreamRequest,
        deadlines: CallDeadlines,
    ) -> Self {
        ActiveCall {
            responder: Some(Responder(responder)),
            request: Rc::new(request),
            deadlines,
            attempts: Vec::new(),
        }
    }

    /// Whether the call still waits for its response.
    pub(super) fn awaits_response(&self) -> bool {
        self.responder.is_some()
    }

    /// Whether the call neither waits for its response nor has an attempt in flight.
    pub(super) fn is_over(&self) -> bool {
        self.responder.is_none() && self.attempts.iter().all(Option::is_none)
    }

    /// Takes the responder, or returns `None` if it was taken before.
    pub(super) fn take_responder(&mut self) -> Option<Responder> {
        self.responder.take()
    }

    /// Whether any attempt was ever started.
    pub(super) fn was_attempted(&self) -> bool {
        !self.attempts.is_empty()
    }

    /// The index of the next attempt.
    pub(super) fn next_attempt_index(&self) -> usize {
        self.attempts.len()
    }

    /// Adds the next attempt, which is `None` if it ended before it was sent.
    pub(super) fn push_attempt(&mut self, attempt: Option<Attempt>) {
        self.attempts.push(attempt);
    }

    /// Takes an attempt that ends now, or returns `None` if it ended before. So each attempt's end is
    /// reported once, whether its response or its cancellation comes first.
    pub(super) fn take_attempt(&mut self, index: usize) -> Option<Attempt> {
        self.attempts.get_mut(index)?.take()
    }

    /// When an attempt that is sent at `sent_at` times out; see [`CallDeadlines::attempt_deadline`].
    pub(super) fn attempt_deadline(&self, sent_at: Instant, timeout_ms: f64) -> Instant {
        self.deadlines.attempt_deadline(sent_at, timeout_ms)
    }
}

/// Describes an attempt that has ended.
pub(super) struct EndedAttempt {
    /// The request.
    pub(super) request: RequestId,
    /// Its number among the request's attempts, from 0.
    pub(super) index: usize,
    /// Where it was sent.
    pub(super) endpoint: EndpointId,
    /// Time since it was started, in milliseconds.
    pub(super) took_ms: f64,
    /// Whether the call has its final response, perhaps through this attempt.
    pub(super) request_answered: bool,
}

impl EndedAttempt {
    /// The event that reports the attempt's end to the decision library.
    pub(super) fn into_event(self, result: &AttemptResult) -> Event {
        Event::AttemptEnded(AttemptEnd {
            request: self.request,
            attempt: self.index as u32,
            endpoint: self.endpoint,
            outcome: result.outcome,
            took_ms: self.took_ms,
            closed: self.request_answered,
            true_units: result.true_units(),
        })
    }

    /// The event for an attempt that ended without a response.
    pub(super) fn into_event_without_response(self, outcome: Outcome) -> Event {
        self.into_event(&AttemptResult::without_response(outcome))
    }
}
