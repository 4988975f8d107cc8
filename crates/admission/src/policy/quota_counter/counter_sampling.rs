//! For which requests the counter is called.
//!
//! The counter serves a limited number of calls per second, also calls that nobody waits for any longer. So
//! the gateways divide it as TCP connections divide a link, by additive increase and multiplicative decrease:
//! each total received raises the fraction of the requests that the counter is called for, each call without
//! a total lowers it. The sampled requests stand for the others.
use crate::event::CounterOutcome;

/// Added to the sampling fraction for each total received.
const SAMPLING_INCREASE: f64 = 0.01;

/// Factor on the sampling fraction for each call without a total.
const SAMPLING_DECREASE: f64 = 0.85;

/// Smallest sampling fraction: a gateway must notice when the counter responds again.
const MIN_COUNTER_SAMPLING: f64 = 0.05;

/// Requests that one sampled request stands for at most. Without this limit a few requests would empty every
/// quota after an outage of the counter.
const MAX_SAMPLE_WEIGHT: f64 = 3.0;

/// A request that may be sampled.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SampleInput {
    /// Fraction of the requests that the counter is called for, 0 to 1.
    pub(crate) sampling_fraction: f64,
    /// The client marked the request as its own retry.
    pub(crate) is_client_retry: bool,
    /// A number drawn evenly from 0 to 1.
    pub(crate) draw: f64,
    /// Units of the request.
    pub(crate) units: f64,
}

/// The sampling fraction after the outcome of a call.
pub(crate) fn sampling_fraction_after(outcome: CounterOutcome, fraction: f64) -> f64 {
    match outcome {
        CounterOutcome::Total(_) => (fraction + SAMPLING_INCREASE).min(1.0),
        CounterOutcome::Rejected | CounterOutcome::Unanswered => {
            (fraction * SAMPLING_DECREASE).max(MIN_COUNTER_SAMPLING)
        }
    }
}

/// Units to add to the count for a request and for those that it stands for; `None` where it is not sampled.
/// A client's retry is always sampled: most likely its customer is over the quota.
pub(crate) fn sample_request(input: SampleInput) -> Option<f64> {
    let fraction = if input.is_client_retry { 1.0 } else { input.sampling_fraction };
    let weight = (1.0 / fraction).min(MAX_SAMPLE_WEIGHT);
    (input.draw < fraction).then_some(input.units * weight)
}

/// Units to give back for a request whose units were counted but not used. Each such call leaves the counter
/// capacity for one request fewer, so only a fraction of the refunds is made, and each stands for the others.
/// `draw` is a number drawn evenly from 0 to 1.
pub(crate) fn refund_units(units: f64, sampling_fraction: f64, draw: f64) -> f64 {
    let fraction = sampling_fraction.max(1.0 / MAX_SAMPLE_WEIGHT);
    if draw < fraction {
        units / fraction
    } else {
        0.0
    }
}
