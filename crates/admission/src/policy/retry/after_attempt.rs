//! The next step of a request after one of its attempts has ended.
use crate::event::Outcome;

/// A request, one of whose attempts has ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AfterAttemptInput {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The request has its final response, or its client has disconnected.
    pub is_closed: bool,
    /// Another attempt of the request is in flight.
    pub has_attempt_in_flight: bool,
}

/// The next step of a request after one of its attempts has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AfterAttempt {
    /// No response is due: a good response or another final response was given, or the client has
    /// disconnected.
    Close,
    /// The request waits for its other attempt.
    AwaitOtherAttempt,
    /// The request is retried if a retry is allowed, and otherwise gets its final response.
    Retry,
    /// This gateway gives the request its final response, without a retry.
    Finish,
}

/// Decides on the next step of a request after one of its attempts has ended.
pub(crate) fn after_attempt(input: &AfterAttemptInput) -> AfterAttempt {
    if input.outcome == Outcome::Ok || input.is_closed {
        AfterAttempt::Close
    } else if input.has_attempt_in_flight {
        AfterAttempt::AwaitOtherAttempt
    } else if input.outcome == Outcome::NotSent {
        AfterAttempt::Finish
    } else {
        AfterAttempt::Retry
    }
}
