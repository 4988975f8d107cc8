//! Samples of response times that the end of one of this gateway's attempts yields.
use crate::event::Outcome;
use crate::state::{LatencyFloors, LatencyGains};

/// Half-life with which an endpoint's relative response time returns to the usual value, in ms. In broadcast
/// mode that value is 1, and the return starts anew from the last recorded value with each response of any
/// kind to this gateway. In a large fleet it is the usual value of the machine kind, and the return starts
/// anew with each observed good response. The value returns so that slow endpoints get attempts again.
pub(crate) const RESPONSE_TIME_HALF_LIFE_MS: f64 = 4000.0;

/// Weight of one of this gateway's attempts in its endpoint's smoothed relative response time.
pub(crate) const OWN_RESPONSE_TIME_GAIN: f64 = 0.1;

/// Weight of an observed response in its endpoint's smoothed relative response time.
pub(crate) const OBSERVED_RESPONSE_TIME_GAIN: f64 = 0.12;

/// Response time that is assumed at the start, as a fraction of the latency objective.
pub(crate) const INITIAL_OBJECTIVE_FRACTION: f64 = 0.15;

/// Weights of a new sample in the smoothed response times of all endpoints.
pub(crate) const LATENCY_GAINS: LatencyGains =
    LatencyGains { class_mean: 0.03, own_fraction: 0.05, observed_fraction: 0.02, kind_baseline: 0.02 };

/// Lower limits of smoothed response times that are used as divisors. Without them small differences would
/// look large if the endpoints respond almost at once.
pub(crate) const LATENCY_FLOORS: LatencyFloors = LatencyFloors { objective_fraction: 0.01, response_ms: 1.0 };

/// Largest sample of a class's response time in a large fleet, as a multiple of the mean, so that a few very
/// slow endpoints do not make all look slow.
const MAX_RESPONSE_SAMPLE: f64 = 2.5;

/// The end of one of this gateway's attempts, and the values that its response time is compared with.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OwnAttemptInput {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time that the attempt took, in ms.
    pub took_ms: f64,
    /// Mean response time of the request's class, in ms; above 0.
    pub class_response_ms: f64,
    /// Latency objective of the request's class, in ms.
    pub latency_objective_ms: f64,
    /// The endpoint's process is past the warm-up time. Before that, a good response gives no sample for the
    /// class and none for the fraction of the latency objective.
    pub is_past_warm_up: bool,
}

/// A sample of a response time, as a ratio. The field of `OwnAttemptSamples` names what it is relative to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ResponseTimeSample {
    /// The response counts as one that took this long.
    Measured(f64),
    /// No response arrived in this time, so a response would have taken longer.
    AtLeast(f64),
}

/// The samples of response times that an attempt gives; `None` if it shows nothing about the value.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct OwnAttemptSamples {
    /// Sample of the endpoint's response time as a multiple of the class's mean.
    pub relative: Option<ResponseTimeSample>,
    /// Sample of the class's mean response time, in ms.
    pub class_response_ms: Option<f64>,
    /// Sample of the mean response time as a fraction of the latency objective.
    pub objective_fraction: Option<ResponseTimeSample>,
}

/// Returns the samples that an attempt gives in broadcast mode. A response of an overloaded endpoint is a
/// sample for the objective fraction only, as one that took as long as the latency objective. A time-out
/// gives a lower bound of the endpoint's relative response time and one of the objective fraction, the latter
/// at most 1.
pub(crate) fn samples_in_broadcast_mode(input: &OwnAttemptInput) -> OwnAttemptSamples {
    let relative = input.took_ms / input.class_response_ms;
    let objective_fraction = input.took_ms / input.latency_objective_ms;
    match input.outcome {
        Outcome::Ok => OwnAttemptSamples {
            relative: Some(ResponseTimeSample::Measured(relative)),
            class_response_ms: input.is_past_warm_up.then_some(input.took_ms),
            objective_fraction: input
                .is_past_warm_up
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
        Outcome::Error | Outcome::ConnectFailed | Outcome::Reset | Outcome::Cancelled | Outcome::NotSent => {
            OwnAttemptSamples::default()
        }
    }
}

/// Returns the sample of a class's mean response time that an attempt gives in a large fleet, in ms, or
/// `None` if it gives none. The other response times are learned from the observations of all gateways.
pub(crate) fn class_sample_in_large_fleet(input: &OwnAttemptInput) -> Option<f64> {
    let max_ms = MAX_RESPONSE_SAMPLE * input.class_response_ms;
    let is_typical = input.outcome == Outcome::Ok && input.is_past_warm_up;
    is_typical.then_some(input.took_ms.min(max_ms))
}
