//! Own observations of endpoints, to be sent with the next messages.
use crate::messages::observation_code::Observation;
use std::collections::VecDeque;

/// The latest own observations, oldest first.
#[derive(Debug, Default)]
pub(crate) struct RecentObservations {
    latest: VecDeque<Observation>,
}

impl RecentObservations {
    /// Adds an observation, unless it is the same as the last, and drops the oldest beyond the limit.
    pub(crate) fn push(&mut self, observation: Observation, limit: usize) {
        if self.latest.back() != Some(&observation) {
            self.latest.push_back(observation);
        }
        while self.latest.len() > limit {
            self.latest.pop_front();
        }
    }

    /// The observations, oldest first.
    pub(crate) fn to_vec(&self) -> Vec<Observation> {
        self.latest.iter().copied().collect()
    }
}
