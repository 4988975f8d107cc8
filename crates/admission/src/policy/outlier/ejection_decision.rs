//! Decides whether an endpoint is ejected or paused after an attempt has ended.
use crate::event::Outcome;
use crate::policy::outlier::ejection::EJECTION;
use crate::policy::outlier::stall::usual_response_ms;

/// Weight of a new attempt in an endpoint's smoothed error fraction.
pub(crate) const ERROR_GAIN: f64 = 0.1;

/// Error fraction above which an error response ejects the endpoint. If the endpoint was ejected for a
/// failure and has given no good response since, any error response ejects it.
const ERROR_EJECTION_THRESHOLD: f64 = 0.3;

/// Error fraction above which a connection failure ejects the endpoint, even if the endpoint has responded in
/// the meantime. It is higher than the threshold for error responses because the endpoint may still respond
/// over its other connections.
const CONNECTION_FAILURE_EJECTION_THRESHOLD: f64 = 0.5;

/// Multiple of the usual response time above which a cancelled attempt, and in broadcast mode a timed-out
/// one, ejects the endpoint if that has not responded to any attempt in the meantime.
const EJECTION_RESPONSE_TIMES: f64 = 3.0;

/// Length of the pause of an overloaded endpoint in broadcast mode, as a fraction of the first ejection.
const OVERLOAD_PAUSE_FRACTION: f64 = 0.25;

/// Inputs of the decision whether an attempt that has ended ejects its endpoint. The endpoint's health
/// already includes the attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EjectionInput {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time that the attempt took, in ms.
    pub took_ms: f64,
    /// Smoothed fraction of this gateway's attempts at the endpoint that ended in errors or connection
    /// failures.
    pub error_fraction: f64,
    /// Consecutive failures of the endpoint that each led to an ejection.
    pub consecutive_failures: u32,
    /// Time since the endpoint last responded to an attempt of this gateway, in ms.
    pub since_response_ms: f64,
    /// Mean response time of the request's class, in ms.
    pub class_response_ms: f64,
    /// Typical age of attempts in flight at an endpoint, in ms.
    pub typical_attempt_age_ms: f64,
}

/// The decision whether an endpoint is ejected or paused after an attempt has ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum EjectionDecision {
    /// The endpoint stays as it is.
    Unchanged,
    /// The endpoint gets no attempts for a time. A pause does not count as a failure.
    Pause {
        /// Length of the pause before jitter, in ms.
        duration_ms: f64,
    },
    /// The endpoint failed and is ejected, for longer with each consecutive failure.
    Eject,
}

/// Decides, in broadcast mode, whether the endpoint of an attempt is ejected or paused. A long time without a
/// response is the endpoint's own fault only if attempts at other endpoints are not as old.
pub(crate) fn decide_ejection_in_broadcast_mode(input: &EjectionInput) -> EjectionDecision {
    match input.outcome {
        Outcome::Overloaded => {
            EjectionDecision::Pause { duration_ms: OVERLOAD_PAUSE_FRACTION * EJECTION.base_ms }
        }
        Outcome::TimedOut => eject_if(input.endpoint_was_silent() && input.took_long()),
        _ => decide_ejection_by_default(input),
    }
}

/// Decides, in a large fleet, whether the endpoint of an attempt is ejected. Each gateway sends an endpoint
/// few attempts, so a time-out is enough if the endpoint has not responded since the attempt was sent.
pub(crate) fn decide_ejection_in_large_fleet(input: &EjectionInput) -> EjectionDecision {
    match input.outcome {
        Outcome::TimedOut => eject_if(input.endpoint_was_silent()),
        _ => decide_ejection_by_default(input),
    }
}

/// Decides on the outcomes for which the modes have the same rule.
///
/// - An error response ejects the endpoint above its error threshold, or after an earlier ejection if there
///   was no good response since.
/// - A connection failure ejects it above its own threshold, or if the endpoint has not responded for longer
///   than the attempt took and than the class's mean response time.
/// - A cancellation ejects it if the endpoint was silent and the attempt took long.
fn decide_ejection_by_default(input: &EjectionInput) -> EjectionDecision {
    match input.outcome {
        Outcome::Error => {
            eject_if(input.error_fraction > ERROR_EJECTION_THRESHOLD || input.consecutive_failures > 0)
        }
        Outcome::ConnectFailed | Outcome::Reset => {
            let silent_ms = input.class_response_ms.max(input.took_ms);
            eject_if(
                input.error_fraction > CONNECTION_FAILURE_EJECTION_THRESHOLD
                    || input.since_response_ms > silent_ms,
            )
        }
        Outcome::Cancelled => eject_if(input.endpoint_was_silent() && input.took_long()),
        Outcome::Ok | Outcome::Overloaded | Outcome::NotSent | Outcome::TimedOut => {
            EjectionDecision::Unchanged
        }
    }
}

/// Returns `Eject` if the endpoint has failed, and `Unchanged` otherwise.
fn eject_if(has_failed: bool) -> EjectionDecision {
    if has_failed {
        EjectionDecision::Eject
    } else {
        EjectionDecision::Unchanged
    }
}

impl EjectionInput {
    /// Returns whether the endpoint has responded to none of this gateway's attempts since this one was sent.
    fn endpoint_was_silent(&self) -> bool {
        self.since_response_ms > self.took_ms
    }

    /// Returns whether the attempt took much longer than the response time that is usual at present.
    fn took_long(&self) -> bool {
        let usual_ms = usual_response_ms(self.class_response_ms, self.typical_attempt_age_ms);
        self.took_ms > EJECTION_RESPONSE_TIMES * usual_ms
    }
}
