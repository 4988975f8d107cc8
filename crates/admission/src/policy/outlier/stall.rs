//! How long an endpoint with work in flight has been silent, against what is usual.
use crate::mechanism::percentile::percentile;

/// Mean response times without a response that are a stall while several attempts are in flight.
const STALL_RESPONSE_TIMES: f64 = 2.5;

/// Mean response times without a response that are a stall while one attempt is in flight. One attempt may be
/// slow by itself.
const SINGLE_STALL_RESPONSE_TIMES: f64 = 5.0;

/// Typical ages of attempts in flight that count as a response time: where all endpoints slow down, attempts
/// in flight show it before responses do.
const TYPICAL_AGE_FACTOR: f64 = 1.5;

/// Percentile, over the endpoints, of the age of attempts in flight that is taken as typical. It lies below
/// the median because a zone of two may be lost with its work in flight.
const TYPICAL_AGE_PERCENTILE: usize = 40;

/// Age at which an endpoint without attempts in flight counts, in mean response times.
const IDLE_AGE_FRACTION: f64 = 0.5;

/// What the stall ratio of an endpoint with attempts in flight goes by.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StallInput {
    /// Now, in ms.
    pub now_ms: f64,
    /// When the oldest own attempt in flight there was sent, in ms.
    pub oldest_sent_ms: f64,
    /// When the endpoint last responded to an own attempt, in ms.
    pub last_response_ms: f64,
    /// Own attempts in flight there.
    pub in_flight: usize,
    /// Its response time over the mean, as last learned.
    pub relative_response_time: f64,
    /// Fraction of its full capacity that it has at least.
    pub warm_fraction: f64,
    /// The response time that is usual just now, in ms.
    pub usual_response_ms: f64,
}

/// Time without any response while attempts are in flight, in multiples of what counts as a stall.
///
/// One attempt is a stall after 5 expected response times, two or more are after 2.5. What is expected grows
/// with the age of this gateway's attempts at all endpoints, so that none is stalled where all slow down.
pub(crate) fn stall_ratio(input: &StallInput) -> f64 {
    let stalled_ms = input.now_ms - input.oldest_sent_ms.max(input.last_response_ms);
    let relative = input.relative_response_time.max(1.0);
    let expected_ms = input.usual_response_ms * relative / input.warm_fraction;
    let in_flight = input.in_flight as f64;
    stalled_ms / expected_ms * (in_flight / SINGLE_STALL_RESPONSE_TIMES).min(1.0 / STALL_RESPONSE_TIMES)
}

/// The response time that is usual just now: the mean, or more while attempts in flight grow old.
pub(crate) fn usual_response_ms(mean_response_ms: f64, typical_age_ms: f64) -> f64 {
    mean_response_ms.max(TYPICAL_AGE_FACTOR * typical_age_ms)
}

/// The typical age of attempts in flight, from the mean age at each endpoint; no age where none is in flight.
/// Each endpoint counts once, so that work piled up in a hung zone does not outweigh the rest.
pub(crate) fn typical_age_ms(ages_ms: impl Iterator<Item = Option<f64>>, mean_response_ms: f64) -> f64 {
    let idle_age_ms = IDLE_AGE_FRACTION * mean_response_ms;
    let ages_ms = ages_ms.map(|age_ms| age_ms.unwrap_or(idle_age_ms)).collect();
    percentile(ages_ms, TYPICAL_AGE_PERCENTILE).unwrap_or(0.0)
}
