//! This gateway's latest observations of endpoints, which its next messages carry.
use crate::messages::observation_code::Observation;
use std::collections::VecDeque;

/// This gateway's latest observations of endpoints, oldest first.
#[derive(Debug, Default)]
pub(crate) struct RecentObservations {
    /// The observations, oldest first, of which no two in succession are equal.
    latest: VecDeque<Observation>,
}

impl RecentObservations {
    /// Adds an observation unless it equals the last one, and drops the oldest ones above `limit`.
    pub(crate) fn push(&mut self, observation: Observation, limit: usize) {
        if self.latest.back() != Some(&observation) {
            self.latest.push_back(observation);
        }
        while self.latest.len() > limit {
            self.latest.pop_front();
        }
    }

    /// Returns the observations, oldest first.
    pub(crate) fn to_vec(&self) -> Vec<Observation> {
        self.latest.iter().copied().collect()
    }
}
