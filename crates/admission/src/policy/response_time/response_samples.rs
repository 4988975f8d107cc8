//! What is learned of response times from the end of an own attempt.
use crate::event::Outcome;
use crate::state::{LatencyFloors, LatencyGains};

/// Half-life with which a relative response time returns to what is usual, in ms, so that slow endpoints get
/// attempts again.
pub(crate) const RESPONSE_TIME_HALF_LIFE_MS: f64 = 4000.0;

/// Weight of an own attempt in its endpoint's relative response time.
pub(crate) const OWN_RESPONSE_TIME_GAIN: f64 = 0.1;

/// Weight of an observed response in its endpoint's relative response time.
pub(crate) const OBSERVED_RESPONSE_TIME_GAIN: f64 = 0.12;

/// Response time that is assumed at the start, as a fraction of the latency objective.
pub(crate) const INITIAL_OBJECTIVE_FRACTION: f64 = 0.15;

/// Weights of new samples in the learned response times of the fleet.
pub(crate) const LATENCY_GAINS: LatencyGains =
    LatencyGains { class_mean: 0.03, own_fraction: 0.05, observed_fraction: 0.02, kind_baseline: 0.02 };

/// Least learned response times that divide: a fleet that answers at once must not make small differences
/// look large.
pub(crate) const LATENCY_FLOORS: LatencyFloors = LatencyFloors { objective_fraction: 0.01, response_ms: 1.0 };

/// Largest sample of a class's response time in a large fleet, in mean response times, so that a few very
/// slow endpoints do not make all look slow.
const MAX_RESPONSE_SAMPLE: f64 = 2.5;

/// How an own attempt ended, and what its response time is compared with.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OwnAttemptInput {
    /// How it ended.
    pub outcome: Outcome,
    /// Time that it took, in ms.
    pub took_ms: f64,
    /// Mean response time of its class, in ms, above 0.
    pub class_response_ms: f64,
    /// Latency objective of its class, in ms.
    pub latency_objective_ms: f64,
    /// Its endpoint has warmed up: responses of others say nothing of the class.
    pub has_warmed_up: bool,
}

/// A sample of a response time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ResponseTimeSample {
    /// The response came after this time.
    Measured(f64),
    /// No response came within this time.
    AtLeast(f64),
}

/// What an own attempt shows of response times. Where it shows nothing of one, there is no sample.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct OwnAttemptSamples {
    /// Of the endpoint's response time, relative to the mean of the class.
    pub relative: Option<ResponseTimeSample>,
    /// Of the class's mean response time, in ms.
    pub class_response_ms: Option<f64>,
    /// Of the mean response time as a fraction of the latency objective.
    pub objective_fraction: Option<ResponseTimeSample>,
}

/// Broadcast mode: all that is learned of response times. An overloaded endpoint counts as one that takes as
/// long as the latency objective.
pub(crate) fn samples_in_broadcast_mode(input: &OwnAttemptInput) -> OwnAttemptSamples {
    let relative = input.took_ms / input.class_response_ms;
    let objective_fraction = input.took_ms / input.latency_objective_ms;
    match input.outcome {
        Outcome::Ok => OwnAttemptSamples {
            relative: Some(ResponseTimeSample::Measured(relative)),
            class_response_ms: input.has_warmed_up.then_some(input.took_ms),
            objective_fraction: input
                .has_warmed_up
                .then_some(ResponseTimeSample::Measured(objective_fraction)),
        },
        Outcome::Overloaded => OwnAttemptSamples {
            objective_fraction: Some(ResponseTimeSample::Measured(1.0)),
            ..OwnAttemptSamples::default()
        },
        Outcome::TimedOut => OwnAttemptSamples {
            relative: Some(ResponseTimeSample::AtLeast(relative)),
            objective_fraction: Some(ResponseTimeSample::AtLeast(objective_fraction.min(1.0))),
            ..OwnAttemptSamples::default()
        },
        Outcome::Error | Outcome::ConnectFailed | Outcome::Reset | Outcome::Cancelled | Outcome::TooLate => {
            OwnAttemptSamples::default()
        }
    }
}

/// Large fleets: the sample of a class's mean response time, in ms. The rest is learned from what the fleet
/// observes.
pub(crate) fn class_sample_in_large_fleet(input: &OwnAttemptInput) -> Option<f64> {
    let max_ms = MAX_RESPONSE_SAMPLE * input.class_response_ms;
    let is_typical = input.outcome == Outcome::Ok && input.has_warmed_up;
    is_typical.then_some(input.took_ms.min(max_ms))
}
