//! Sampling of the requests that the counter is called for.
//!
//! The counter serves a limited number of calls per second, including calls that nobody waits for any longer.
//! Gateways share this capacity as TCP connections share a link, by additive increase and multiplicative
//! decrease: each total received raises the sampling fraction, and each call without a total lowers it. A
//! sampled request represents others that the counter is not called for.
use crate::event::CounterOutcome;

/// Added to the sampling fraction for each total received.
const SAMPLING_INCREASE: f64 = 0.01;

/// Factor on the sampling fraction for each call without a total.
const SAMPLING_DECREASE_FACTOR: f64 = 0.85;

/// Lower bound of the sampling fraction: a gateway must notice when the counter responds again.
const MIN_COUNTER_SAMPLING_FRACTION: f64 = 0.05;

/// Maximum number of requests that one sampled request represents, itself included. Without this limit, a few
/// requests would empty every quota after an outage of the counter.
const MAX_SAMPLE_WEIGHT: f64 = 3.0;

/// A request that may be sampled.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SampleInput {
    /// Fraction of requests that the counter is called for, 0 to 1.
    pub(crate) sampling_fraction: f64,
    /// Whether the client marked the request as its own retry.
    pub(crate) is_client_retry: bool,
    /// Random number, uniformly distributed from 0 to 1.
    pub(crate) draw: f64,
    /// Units of the request.
    pub(crate) units: f64,
}

/// Returns the sampling fraction after a call with this outcome.
pub(crate) fn sampling_fraction_after(outcome: CounterOutcome, fraction: f64) -> f64 {
    match outcome {
        CounterOutcome::Total(_) => (fraction + SAMPLING_INCREASE).min(1.0),
        CounterOutcome::Rejected | CounterOutcome::Unanswered => {
            (fraction * SAMPLING_DECREASE_FACTOR).max(MIN_COUNTER_SAMPLING_FRACTION)
        }
    }
}

/// Returns the units to add to the count for a request and for those that it represents, or `None` if the
/// request is not sampled. A client's retry is always sampled, because its customer is most likely over the
/// quota.
pub(crate) fn sample_request(input: SampleInput) -> Option<f64> {
    let fraction = if input.is_client_retry { 1.0 } else { input.sampling_fraction };
    let weight = (1.0 / fraction).min(MAX_SAMPLE_WEIGHT);
    (input.draw < fraction).then_some(input.units * weight)
}

/// Returns the units to give back for a request whose units were counted but not used; 0 if the refund is not
/// sampled. A refund takes counter capacity that a request could use, so only a fraction of the refunds is
/// made, and each represents the others. `draw` is a random number, uniformly distributed from 0 to 1.
pub(crate) fn refund_units(units: f64, sampling_fraction: f64, draw: f64) -> f64 {
    let fraction = sampling_fraction.max(1.0 / MAX_SAMPLE_WEIGHT);
    if draw < fraction {
        units / fraction
    } else {
        0.0
    }
}
