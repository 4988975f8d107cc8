//! Large fleets: which attempts take long, and which are stalled. A gateway there sends an endpoint too
//! little to see a stall of the endpoint, and goes by the age of single attempts.
use crate::policy::upkeep::UPKEEP_MS;

/// Mean response times after which an attempt takes long.
const LONG_RESPONSE_TIMES: f64 = 2.5;

/// Least time after which an attempt takes long, in latency objectives.
const LONG_OBJECTIVE_FRACTION: f64 = 0.25;

/// An attempt is stalled after this multiple of the time after which it takes long, where nothing else speaks
/// against its endpoint.
const STALLED_FACTOR: f64 = 1.6;

/// What is known of an attempt in flight and of its endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingAttemptInput {
    /// Time since it was sent, in ms.
    pub age_ms: f64,
    /// Time after which attempts of its class take long, in ms.
    pub slow_after_ms: f64,
    /// The endpoint is ejected for the class: other attempts took long there or failed.
    pub is_ejected_for_class: bool,
    /// The endpoint is an outlier.
    pub is_outlier: bool,
    /// The fleet gets no responses from the endpoint.
    pub is_unresponsive: bool,
}

/// The time after which an attempt takes long, by the mean response time and the latency objective of its
/// class.
pub(crate) fn slow_after_ms(class_response_ms: f64, latency_objective_ms: f64) -> f64 {
    let by_mean_ms = class_response_ms * LONG_RESPONSE_TIMES;
    by_mean_ms.max(LONG_OBJECTIVE_FRACTION * latency_objective_ms)
}

/// Whether an attempt has begun to take long since the last round of upkeep.
pub(crate) fn has_become_slow(age_ms: f64, slow_after_ms: f64) -> bool {
    age_ms > slow_after_ms && age_ms < slow_after_ms + UPKEEP_MS
}

/// Whether an attempt is stalled: whatever its age where its endpoint is an outlier or unresponsive, once it
/// takes long where the endpoint is ejected for the class, and otherwise after `STALLED_FACTOR` times as
/// long.
pub(crate) fn is_stalled(input: &PendingAttemptInput) -> bool {
    let factor = if input.is_ejected_for_class { 1.0 } else { STALLED_FACTOR };
    let limit_ms = input.slow_after_ms * factor;
    input.is_outlier || input.is_unresponsive || input.age_ms > limit_ms
}
