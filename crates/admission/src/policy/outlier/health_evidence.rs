//! What the end of an attempt shows of its endpoint's health.
use crate::event::Outcome;

/// What the end of an own attempt shows of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthEvidence {
    /// It gave a good response: its failures in a row are over.
    GoodResponse,
    /// It responded with an error: it is alive, and fails.
    ErrorResponse,
    /// It rejected the attempt: it is alive.
    Rejection,
    /// No connection, or a broken one: it fails.
    ConnectionFailure,
    /// Nothing.
    None,
}

/// What the end of an own attempt shows of its endpoint.
pub(crate) fn health_evidence(outcome: Outcome) -> HealthEvidence {
    match outcome {
        Outcome::Ok => HealthEvidence::GoodResponse,
        Outcome::Error => HealthEvidence::ErrorResponse,
        Outcome::Overloaded => HealthEvidence::Rejection,
        Outcome::ConnectFailed | Outcome::Reset => HealthEvidence::ConnectionFailure,
        Outcome::TimedOut | Outcome::Cancelled | Outcome::TooLate => HealthEvidence::None,
    }
}
