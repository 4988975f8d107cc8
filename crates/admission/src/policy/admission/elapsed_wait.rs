//! How long a client has waited already, for requests before its retry that this gateway does not know of.
//!
//! A request carries the time that its client still waits, but not when the client began to. Clients'
//! first requests of a class all carry the same time budget, so the commonest budget of a class, found by
//! vote, is that of a first request. One with less left is a client's retry, and the difference was spent
//! before.
use crate::mechanism::common_value::VoteParameters;

/// How the vote on the commonest time budget of a class is counted.
pub(crate) const TIME_BUDGET_VOTE: VoteParameters =
    VoteParameters { tolerance: 0.02, votes_per_match: 4, max_votes: 30 };

/// Votes from which the commonest time budget is taken for that of clients' first requests.
const MIN_TIME_BUDGET_VOTES: i32 = 10;

/// The time budget of a new request against those of its class.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TimeBudgetInput {
    /// Time that the request's client still waits, in ms.
    pub(crate) time_left_ms: f64,
    /// Votes for the commonest time budget of the class; `None` where this request has just that budget.
    pub(crate) votes_for_another_budget: Option<i32>,
    /// Latency objective of the class, in ms.
    pub(crate) latency_objective_ms: f64,
    /// How long clients of the class wait in all, in ms.
    pub(crate) deadline_ms: f64,
}

/// How long a request's client has waited already, in ms. A time budget below the latency objective is that
/// of an impatient client and shows no earlier request.
pub(crate) fn already_waited_ms(input: &TimeBudgetInput) -> f64 {
    let Some(votes) = input.votes_for_another_budget else { return 0.0 };
    if votes < MIN_TIME_BUDGET_VOTES || input.time_left_ms <= input.latency_objective_ms {
        return 0.0;
    }
    (input.deadline_ms - input.time_left_ms).max(0.0)
}
