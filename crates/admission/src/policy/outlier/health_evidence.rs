//! What the end of an attempt shows about its endpoint's health.
use crate::event::Outcome;

/// What the end of one of this gateway's attempts shows about its endpoint's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthEvidence {
    /// The endpoint gave a good response, which ends a series of consecutive failures.
    GoodResponse,
    /// The endpoint responded with an error: it is alive, but it fails requests.
    ErrorResponse,
    /// The endpoint rejected the attempt: it is alive.
    Rejection,
    /// No connection could be established, or the connection broke.
    ConnectionFailure,
    /// The end of the attempt shows nothing about the endpoint.
    NotRecorded,
}

/// Returns what the end of one of this gateway's attempts shows about its endpoint's health.
pub(crate) fn health_evidence(outcome: Outcome) -> HealthEvidence {
    match outcome {
        Outcome::Ok => HealthEvidence::GoodResponse,
        Outcome::Error => HealthEvidence::ErrorResponse,
        Outcome::Overloaded => HealthEvidence::Rejection,
        Outcome::ConnectFailed | Outcome::Reset => HealthEvidence::ConnectionFailure,
        Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => HealthEvidence::NotRecorded,
    }
}
