//! Large fleets: detects attempts in flight that are slow or stalled. A gateway in a large fleet sends too
//! few attempts to an endpoint to see that the endpoint stalls, so it decides by the age of each attempt.
use crate::policy::upkeep::UPKEEP_INTERVAL_MS;

/// Age from which an attempt is slow, in mean response times.
const SLOW_RESPONSE_TIMES: f64 = 2.5;

/// Lower limit of the age from which an attempt is slow, in latency objectives.
const SLOW_OBJECTIVE_FRACTION: f64 = 0.25;

/// Age from which an attempt is presumed stalled, as a multiple of `slow_after_ms`, if its endpoint shows no
/// fault.
const STALLED_FACTOR: f64 = 1.6;

/// An attempt in flight, and what is known about its endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InFlightAttemptInput {
    /// Time since the attempt was sent, in ms.
    pub age_ms: f64,
    /// Age from which attempts of the request's class are slow, in ms.
    pub slow_after_ms: f64,
    /// The endpoint is ejected for the request's class, because other attempts were slow or failed there.
    pub is_ejected_for_class: bool,
    /// The endpoint is an outlier.
    pub is_outlier: bool,
    /// The endpoint no longer gives any gateway a good response.
    pub is_unresponsive: bool,
}

/// Returns the age from which an attempt is slow, in ms, by the mean response time and the latency objective
/// of its class.
pub(crate) fn slow_after_ms(class_response_ms: f64, latency_objective_ms: f64) -> f64 {
    let by_mean_ms = class_response_ms * SLOW_RESPONSE_TIMES;
    by_mean_ms.max(SLOW_OBJECTIVE_FRACTION * latency_objective_ms)
}

/// Returns whether an attempt has become slow within the last `UPKEEP_INTERVAL_MS`, the time between two
/// rounds of upkeep. If the next round comes later than that, the attempt may be missed.
pub(crate) fn has_become_slow(age_ms: f64, slow_after_ms: f64) -> bool {
    age_ms > slow_after_ms && age_ms < slow_after_ms + UPKEEP_INTERVAL_MS
}

/// Returns whether an attempt is presumed stalled: at any age if its endpoint is an outlier or unresponsive,
/// from the age at which it is slow if the endpoint is ejected for the class, and otherwise from
/// `STALLED_FACTOR` times that age.
pub(crate) fn is_presumed_stalled(input: &InFlightAttemptInput) -> bool {
    let factor = if input.is_ejected_for_class { 1.0 } else { STALLED_FACTOR };
    let limit_ms = input.slow_after_ms * factor;
    input.is_outlier || input.is_unresponsive || input.age_ms > limit_ms
}
