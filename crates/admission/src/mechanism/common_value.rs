//! Finds the most common value of a stream by a weighted Boyer-Moore majority vote. A value equal to the
//! candidate adds votes for it, any other value removes one, and a candidate that has no votes left is
//! replaced.

/// The parameters of a vote on the most common value.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VoteParameters {
    /// Largest difference from the candidate at which a value counts as equal, as a fraction of the
    /// candidate.
    pub tolerance: f64,
    /// Votes that an equal value adds; any other value removes one.
    pub votes_per_match: i32,
    /// Maximum number of votes, so that a change of the most common value is noticed in time.
    pub max_votes: i32,
}

/// The candidate for the most common recent value, and its votes.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct MostCommonValue {
    /// The candidate, in the unit of the recorded values.
    value: f64,
    /// The candidate's votes, at least 1 and at most `max_votes` once a value was recorded.
    votes: i32,
}

impl MostCommonValue {
    /// Counts a value and returns whether it equals the candidate. A value that leaves the candidate without
    /// votes becomes the candidate.
    pub(crate) fn record(&mut self, value: f64, limits: VoteParameters) -> bool {
        if (value - self.value).abs() <= limits.tolerance * self.value {
            self.votes = (self.votes + limits.votes_per_match).min(limits.max_votes);
            return true;
        }
        self.votes -= 1;
        if self.votes <= 0 {
            self.value = value;
            self.votes = 1;
        }
        false
    }

    /// Returns the votes for the candidate. The more there are, the more certain it is that the candidate is
    /// the most common value.
    pub(crate) fn votes(&self) -> i32 {
        self.votes
    }
}
