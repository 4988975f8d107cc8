//! How long an attempt may take.

/// Time-out of an attempt, in latency objectives. Later responses have little value, but while the endpoint
/// may still work on the attempt it must count in the stock, so the time-out is longer than the objective.
pub(crate) const ATTEMPT_TIMEOUT_OBJECTIVES: f64 = 2.0;

/// Shortest time-out of an attempt, in ms: the host program needs one above 0.
const MIN_ATTEMPT_TIMEOUT_MS: f64 = 1.0;

/// Time-out of an attempt, in ms: never longer than its client waits.
pub(crate) fn attempt_timeout_ms(latency_objective_ms: f64, time_left_ms: f64) -> f64 {
    (ATTEMPT_TIMEOUT_OBJECTIVES * latency_objective_ms).min(time_left_ms).max(MIN_ATTEMPT_TIMEOUT_MS)
}
