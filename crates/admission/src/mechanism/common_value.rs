//! The commonest of a stream of values, by majority vote.

/// How a vote on the commonest value is counted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VoteLimits {
    /// Largest distance of a value that counts as equal, in parts of the commonest value.
    pub tolerance: f64,
    /// Votes that an equal value adds; any other takes one off.
    pub votes_for: i32,
    /// Most votes kept, so that a changed value is noticed in time.
    pub max_votes: i32,
}

/// The value seen most often of late, and the votes for it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CommonValue {
    value: f64,
    votes: i32,
}

impl CommonValue {
    /// Counts a value; true where it is the commonest one. When its votes run out, the commonest value gives
    /// way to the one being counted.
    pub(crate) fn record(&mut self, value: f64, limits: VoteLimits) -> bool {
        if (value - self.value).abs() <= limits.tolerance * self.value {
            self.votes = (self.votes + limits.votes_for).min(limits.max_votes);
            return true;
        }
        self.votes -= 1;
        if self.votes <= 0 {
            self.value = value;
            self.votes = 1;
        }
        false
    }

    /// Votes for the commonest value, as the measure of how sure it is.
    pub(crate) fn votes(&self) -> i32 {
        self.votes
    }
}
