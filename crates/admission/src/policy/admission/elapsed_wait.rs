//! The time that a client has already waited because of earlier requests that this gateway does not know of.
//!
//! A request carries its time budget, the time that its client will still wait, but not the time at which the
//! client began to wait. Clients' first requests of a class all carry the same time budget, so the most
//! common budget of a class, found by majority vote, is that of a first request. A request with another
//! budget, smaller or larger, is taken to be a retry by its client, which has spent the rest of the class's
//! `deadline_ms` on earlier requests.
use crate::mechanism::common_value::VoteParameters;

/// Parameters of the vote on the most common time budget of a class.
pub(crate) const TIME_BUDGET_VOTE: VoteParameters =
    VoteParameters { tolerance: 0.02, votes_per_match: 4, max_votes: 30 };

/// Votes from which the most common time budget is assumed to be that of clients' first requests.
const MIN_TIME_BUDGET_VOTES: i32 = 10;

/// The time budget of a new request, compared with the most common one of its class.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TimeBudgetInput {
    /// The request's time budget: how long its client will still wait, in ms.
    pub(crate) time_left_ms: f64,
    /// Votes for the most common time budget of the class if this request's budget is smaller or larger;
    /// `None` if both are equal.
    pub(crate) votes_for_another_budget: Option<i32>,
    /// Latency objective of the class, in ms.
    pub(crate) latency_objective_ms: f64,
    /// Time that a client of the class waits from its first request on, from the settings, in ms.
    pub(crate) deadline_ms: f64,
}

/// Returns how long a request's client has already waited, in ms: the class's `deadline_ms` minus the
/// request's time budget. Returns 0 if the request counts as the client's first, or if its time budget is at
/// least `deadline_ms`. A request counts as the first if its time budget is the most common one, if there are
/// too few votes to know that one, or if its time budget is at most the latency objective: such a short one
/// is not a sign of earlier requests, because it is that of an impatient client.
pub(crate) fn already_waited_ms(input: &TimeBudgetInput) -> f64 {
    let Some(votes) = input.votes_for_another_budget else { return 0.0 };
    if votes < MIN_TIME_BUDGET_VOTES || input.time_left_ms <= input.latency_objective_ms {
        return 0.0;
    }
    (input.deadline_ms - input.time_left_ms).max(0.0)
}
