//! Response times: what is learned about them, and which endpoints are slow for their machine kind.
mod kind_deviation;
mod response_samples;

pub(crate) use kind_deviation::{kind_deviation, kind_sample, KindDeviation};
pub(crate) use response_samples::{
    class_sample_in_large_fleet, samples_in_broadcast_mode, OwnAttemptInput, OwnAttemptSamples,
    ResponseTimeSample, INITIAL_OBJECTIVE_FRACTION, LATENCY_FLOORS, LATENCY_GAINS,
    OBSERVED_RESPONSE_TIME_GAIN, OWN_RESPONSE_TIME_GAIN, RESPONSE_TIME_HALF_LIFE_MS,
};
