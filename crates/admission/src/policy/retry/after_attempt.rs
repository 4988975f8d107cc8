//! What follows for a request from the end of one of its attempts.
use crate::event::Outcome;

/// What decides about a request once an attempt has ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AfterAttemptInput {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The request has its final response, or its client has disconnected.
    pub is_closed: bool,
    /// Another attempt is in flight.
    pub has_attempt_in_flight: bool,
}

/// What follows for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AfterAttempt {
    /// It is closed.
    Close,
    /// It waits for its other attempt.
    AwaitOther,
    /// It gets a retry, where one is allowed, or else its final response.
    Retry,
    /// It gets its final response.
    Finish,
}

/// What follows for a request from the end of one of its attempts.
pub(crate) fn after_attempt(input: &AfterAttemptInput) -> AfterAttempt {
    if input.outcome == Outcome::Ok || input.is_closed {
        AfterAttempt::Close
    } else if input.has_attempt_in_flight {
        AfterAttempt::AwaitOther
    } else if input.outcome == Outcome::TooLate {
        AfterAttempt::Finish
    } else {
        AfterAttempt::Retry
    }
}
