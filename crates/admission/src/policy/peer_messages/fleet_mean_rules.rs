//! How the means over a fleet follow received and own figures, and the age of attempts that follows from
//! them.
use crate::state::GatewayMeans;

/// Weight of each received mean in the means that this gateway passes on.
pub(crate) const MEAN_GAIN: f64 = 0.5;

/// Weight of each received mean in the means that the in-flight band goes by. These leave out this gateway's
/// own figures, which are few and jump.
pub(crate) const RECEIVED_MEAN_GAIN: f64 = 0.15;

/// How fast the means that are passed on follow this gateway's own figures, per second.
pub(crate) const MEAN_GAIN_PER_SECOND: f64 = 2.0;

/// Lower bound of the age of attempts, in mean response times.
const MIN_AGE_RESPONSE_TIMES: f64 = 0.5;

/// Upper bound of the age of attempts, in longest latency objectives.
const MAX_AGE_OBJECTIVES: f64 = 2.0;

/// How long attempts are in flight on the mean, in ms: attempts in flight over responses per second, by
/// Little's law. This shows a jam earlier than the response times do.
pub(crate) fn mean_attempt_age_ms(
    means: GatewayMeans,
    mean_response_ms: f64,
    longest_objective_ms: f64,
) -> f64 {
    let longest_ms = longest_objective_ms.max(mean_response_ms);
    let age_ms = if means.responses_per_second > 0.0 {
        1000.0 * means.in_flight / means.responses_per_second
    } else {
        mean_response_ms
    };
    age_ms.clamp(MIN_AGE_RESPONSE_TIMES * mean_response_ms, MAX_AGE_OBJECTIVES * longest_ms)
}
