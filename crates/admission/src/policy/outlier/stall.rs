//! The time for which an endpoint with attempts in flight has not responded, compared with the usual response
//! time.
//!
//! Four times build on each other. The mean response time is the smoothed time that responses took. The
//! typical age is that of the attempts now in flight, over all endpoints; in a large fleet it is estimated
//! from the means over the fleet (`mean_attempt_age_ms`). The usual response time is the mean, or
//! `TYPICAL_AGE_FACTOR` times the typical age if that is longer. The expected response time of one endpoint
//! is the usual one, longer if the endpoint is slower than the mean or does not have its full capacity yet.
use crate::mechanism::percentile::percentile;

/// Time without a response that counts as a stall if several attempts are in flight, in expected response
/// times.
const STALL_RESPONSE_TIMES: f64 = 2.5;

/// Time without a response that counts as a stall if one attempt is in flight, in expected response times. It
/// is longer because a single attempt may be slow by itself.
const SINGLE_STALL_RESPONSE_TIMES: f64 = 5.0;

/// Lower limit of the usual response time, as a multiple of the typical age of attempts in flight. If all
/// endpoints slow down, the attempts in flight show it before the responses do.
const TYPICAL_AGE_FACTOR: f64 = 1.5;

/// Percentile, over the endpoints, of the mean age of attempts in flight that is taken as the typical age. It
/// lies below the median because one zone of two may fail with all its attempts in flight.
const TYPICAL_AGE_PERCENTILE: usize = 40;

/// Age that is assumed for an endpoint without attempts in flight, as a fraction of the mean response time.
const IDLE_AGE_FRACTION: f64 = 0.5;

/// An endpoint with attempts of this gateway in flight, and the response time that is usual at present.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StallInput {
    /// The current time, in ms.
    pub now_ms: f64,
    /// When the oldest of this gateway's attempts in flight at the endpoint was sent, in ms.
    pub oldest_sent_ms: f64,
    /// When the endpoint last responded to an attempt of this gateway, in ms.
    pub last_response_ms: f64,
    /// Number of this gateway's attempts in flight at the endpoint.
    pub in_flight: usize,
    /// The endpoint's response time as a multiple of the mean, as last recorded.
    pub relative_response_time: f64,
    /// Lower bound of the endpoint's capacity, as a fraction of its full capacity.
    pub warm_fraction: f64,
    /// Response time that is usual at present over all endpoints, in ms.
    pub usual_response_ms: f64,
}

/// Returns the time without any response from an endpoint with attempts in flight, as a multiple of the time
/// that counts as a stall.
///
/// With one attempt in flight, a time without a response counts as a stall after
/// `SINGLE_STALL_RESPONSE_TIMES` expected response times; with two or more, after `STALL_RESPONSE_TIMES`. The
/// expected response time grows with the typical age of attempts in flight, so that no endpoint counts as
/// stalled if all slow down.
pub(crate) fn stall_ratio(input: &StallInput) -> f64 {
    let stalled_ms = input.now_ms - input.oldest_sent_ms.max(input.last_response_ms);
    let relative = input.relative_response_time.max(1.0);
    let expected_ms = input.usual_response_ms * relative / input.warm_fraction;
    let in_flight = input.in_flight as f64;
    stalled_ms / expected_ms * (in_flight / SINGLE_STALL_RESPONSE_TIMES).min(1.0 / STALL_RESPONSE_TIMES)
}

/// Returns the response time that is usual at present, in ms: the mean response time, or more if the attempts
/// in flight are old. `mean_response_ms` is the mean over the classes if an endpoint's silence is judged, and
/// that of the request's class if the end of an attempt is.
pub(crate) fn usual_response_ms(mean_response_ms: f64, typical_attempt_age_ms: f64) -> f64 {
    mean_response_ms.max(TYPICAL_AGE_FACTOR * typical_attempt_age_ms)
}

/// Returns the typical age of attempts in flight, in ms. `ages_ms` has the mean age at each endpoint, or
/// `None` for an endpoint without attempts in flight. Each endpoint counts once, so that the many attempts in
/// flight in a hung zone do not outweigh the rest.
pub(crate) fn typical_attempt_age_ms(
    ages_ms: impl Iterator<Item = Option<f64>>,
    mean_response_ms: f64,
) -> f64 {
    let idle_age_ms = IDLE_AGE_FRACTION * mean_response_ms;
    let ages_ms = ages_ms.map(|age_ms| age_ms.unwrap_or(idle_age_ms)).collect();
    percentile(ages_ms, TYPICAL_AGE_PERCENTILE).unwrap_or(0.0)
}
