//! The evidence on its endpoint's health that the end of an attempt yields.
use crate::event::Outcome;

/// The evidence on its endpoint's health that the end of one of this gateway's attempts yields. Whether the
/// end also ejects the endpoint is decided in `ejection_decision`.
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
    /// The end changes neither the error fraction nor the time of the last response. A time-out or a
    /// cancellation may still eject the endpoint.
    NotRecorded,
}

/// Returns what the end of one of this gateway's attempts adds to its endpoint's health record.
pub(crate) fn health_evidence(outcome: Outcome) -> HealthEvidence {
    match outcome {
        Outcome::Ok => HealthEvidence::GoodResponse,
        Outcome::Error => HealthEvidence::ErrorResponse,
        Outcome::Overloaded => HealthEvidence::Rejection,
        Outcome::ConnectFailed | Outcome::Reset => HealthEvidence::ConnectionFailure,
        Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => HealthEvidence::NotRecorded,
    }
}
