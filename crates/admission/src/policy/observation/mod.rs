//! Large fleets: what gateways report to each other about endpoints.
mod attempt_observation;

pub(crate) use attempt_observation::{observation_of_attempt, MAX_OBSERVATIONS, OBSERVATION_TIME_CONSTANT_S};
