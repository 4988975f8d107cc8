//! The weights with which the means over a fleet follow received means and this gateway's own measurements,
//! and the mean age of attempts that results from them.
use crate::state::GatewayMeans;

/// Weight of a received mean in the means that this gateway passes on to peers, the watermark included.
pub(crate) const PASSED_ON_MEAN_GAIN: f64 = 0.5;

/// Weight of a received mean in the means that the in-flight band is computed from. These exclude this
/// gateway's own measurements, which are few and noisy.
pub(crate) const RECEIVED_MEAN_GAIN: f64 = 0.15;

/// Rate, per second, at which the means that this gateway passes on follow its own measurements.
pub(crate) const OWN_MEAN_GAIN_PER_SECOND: f64 = 2.0;

/// Lower bound of the mean age of attempts, in mean response times.
const MIN_AGE_RESPONSE_TIMES: f64 = 0.5;

/// Upper bound of the mean age of attempts, as a multiple of the longest latency objective, or of the mean
/// response time if that is longer.
const MAX_AGE_OBJECTIVES: f64 = 2.0;

/// Returns the mean time that attempts are in flight, in ms: attempts in flight divided by responses per
/// second, by Little's law, limited to the lower and the upper bound. It is the mean response time if no
/// responses are measured. It shows congestion earlier than the response times do.
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
