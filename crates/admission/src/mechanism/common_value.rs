//! The commonest of a stream of values, by majority vote: a value equal to the candidate adds votes for it,
//! another one removes a vote, and a candidate without votes is replaced.

/// How a vote on the commonest value is counted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VoteLimits {
    /// Largest distance of a value that counts as equal, as a fraction of the commonest value.
    pub tolerance: f64,
    /// Votes that an equal value adds; any other removes one.
    pub votes_per_match: i32,
    /// Limit of the votes, so that a changed value is noticed in time.
    pub max_votes: i32,
}

/// The value that was recorded most often recently, and the votes for it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CommonValue {
    value: f64,
    votes: i32,
}

impl CommonValue {
    /// Counts a value. `true` where it equals the commonest one. When its votes run out, the commonest value
    /// is replaced by the one being counted.
    pub(crate) fn record(&mut self, value: f64, limits: VoteLimits) -> bool {
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

    /// Votes for the commonest value: the more there are, the more certain it is.
    pub(crate) fn votes(&self) -> i32 {
        self.votes
    }
}
