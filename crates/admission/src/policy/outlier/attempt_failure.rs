//! Whether the end of an attempt is a failure of its endpoint.
use crate::event::Outcome;
use crate::policy::outlier::ejection::EJECTION;
use crate::policy::outlier::stall::usual_response_ms;

/// Weight of each error and each broken connection in an endpoint's error fraction.
pub(crate) const ERROR_GAIN: f64 = 0.1;

/// Error fraction above which an error is a failure of the endpoint.
const MAX_ERROR_FRACTION: f64 = 0.3;

/// Error fraction above which a broken connection is a failure of the endpoint. It is higher because an
/// endpoint may respond over its other connections.
const MAX_BROKEN_FRACTION: f64 = 0.5;

/// Response times after which an abandoned attempt is a failure of the endpoint.
const FAILED_RESPONSE_TIMES: f64 = 3.0;

/// How long an overloaded endpoint is paused in broadcast mode, as a fraction of the first ejection.
const OVERLOAD_PAUSE_FRACTION: f64 = 0.25;

/// What the verdict on an endpoint goes by once an attempt has ended and is recorded in its health.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EjectionInput {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time that the attempt took, in ms.
    pub took_ms: f64,
    /// Fraction of own attempts at the endpoint that ended in errors or broken connections, smoothed.
    pub error_fraction: f64,
    /// Failures in a row, each of which led to an ejection.
    pub consecutive_failures: u32,
    /// Time since the endpoint responded to an own attempt, in ms.
    pub since_response_ms: f64,
    /// Mean response time of the class, in ms.
    pub class_response_ms: f64,
    /// Typical age of own attempts in flight, in ms.
    pub typical_age_ms: f64,
}

/// What follows for an endpoint from the end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum EjectionDecision {
    /// Nothing.
    Unchanged,
    /// It gets no attempts for a time, before jitter. That counts as no failure.
    Pause {
        /// The time, in ms.
        duration_ms: f64,
    },
    /// It failed, and is ejected by the back-off.
    Eject,
}

/// Broadcast mode: what follows for the endpoint. A long time without a response is the endpoint's own fault
/// only where attempts elsewhere are not as old.
pub(crate) fn decide_ejection_in_broadcast_mode(input: &EjectionInput) -> EjectionDecision {
    match input.outcome {
        Outcome::Overloaded => {
            EjectionDecision::Pause { duration_ms: OVERLOAD_PAUSE_FRACTION * EJECTION.base_ms }
        }
        Outcome::TimedOut => eject_if(input.got_no_response() && input.took_long()),
        _ => verdict_in_any_mode(input),
    }
}

/// Large fleets: what follows for the endpoint. Each gateway sends it little, so that a time-out without any
/// response since is enough.
pub(crate) fn decide_ejection_in_large_fleet(input: &EjectionInput) -> EjectionDecision {
    match input.outcome {
        Outcome::TimedOut => eject_if(input.got_no_response()),
        _ => verdict_in_any_mode(input),
    }
}

/// What follows for the endpoint where both modes decide alike.
fn verdict_in_any_mode(input: &EjectionInput) -> EjectionDecision {
    match input.outcome {
        Outcome::Error => {
            eject_if(input.error_fraction > MAX_ERROR_FRACTION || input.consecutive_failures > 0)
        }
        Outcome::ConnectFailed | Outcome::Reset => {
            let silent_ms = input.class_response_ms.max(input.took_ms);
            eject_if(input.error_fraction > MAX_BROKEN_FRACTION || input.since_response_ms > silent_ms)
        }
        Outcome::Cancelled => eject_if(input.got_no_response() && input.took_long()),
        Outcome::Ok | Outcome::Overloaded | Outcome::TooLate | Outcome::TimedOut => {
            EjectionDecision::Unchanged
        }
    }
}

/// An ejection where the endpoint failed.
fn eject_if(has_failed: bool) -> EjectionDecision {
    if has_failed {
        EjectionDecision::Eject
    } else {
        EjectionDecision::Unchanged
    }
}

impl EjectionInput {
    /// Whether the endpoint responded to no own attempt for as long as this one took.
    fn got_no_response(&self) -> bool {
        self.since_response_ms > self.took_ms
    }

    /// Whether the attempt took far longer than is usual just now.
    fn took_long(&self) -> bool {
        let usual_ms = usual_response_ms(self.class_response_ms, self.typical_age_ms);
        self.took_ms > FAILED_RESPONSE_TIMES * usual_ms
    }
}
