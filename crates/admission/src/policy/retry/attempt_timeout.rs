//! The time that an attempt may take.

/// Time-out of an attempt, in latency objectives. A response after one objective has little value, but until
/// the time-out the attempt counts as in flight, because the endpoint may still be working on it.
pub(crate) const ATTEMPT_TIMEOUT_OBJECTIVES: f64 = 2.0;

/// Shortest time-out of an attempt, in ms: the host program needs one above 0.
const MIN_ATTEMPT_TIMEOUT_MS: f64 = 1.0;

/// Returns the time-out of an attempt, in ms. `time_left_ms` is the time until the client's deadline.
pub(crate) fn attempt_timeout_ms(latency_objective_ms: f64, time_left_ms: f64) -> f64 {
    let by_objective_ms = ATTEMPT_TIMEOUT_OBJECTIVES * latency_objective_ms;
    by_objective_ms.min(time_left_ms).max(MIN_ATTEMPT_TIMEOUT_MS)
}
