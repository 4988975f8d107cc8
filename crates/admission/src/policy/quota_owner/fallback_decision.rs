//! A gateway's decision on a request without the quota owner: when the owner did not respond, when the owner
//! wants quota requests for a sample of the requests only and this one is not sampled, or when no message
//! token is left.
use crate::state::{QuotaExpectation, QuotaState};

/// Inputs of a gateway's decision on a request without the quota owner.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WithoutOwnerInput {
    /// Whether the customer is most likely within its quota or over it.
    pub(crate) expectation: QuotaExpectation,
    /// Whether the fleet has so few attempts in flight that requests are sent without dispatch credit.
    pub(crate) is_below_credit_threshold: bool,
    /// Rate of the plan's hard ceiling in units per second; 0 if the plan has no ceiling.
    pub(crate) ceiling_rate_per_second: f64,
}

/// Decides on a request without the quota owner.
///
/// Most customers are well within their quota, so this gateway's own token bucket decides while the fleet's
/// attempts in flight are below the credit threshold, that is, while the endpoints have spare capacity.
/// Otherwise the request counts as over the quota and is not sent. So does a request that is expected to be
/// over the quota because the owner recently granted less than was requested, and every request under a hard
/// ceiling, because only the owner knows how much of the ceiling is spent.
pub(crate) fn decide_without_owner(input: WithoutOwnerInput) -> QuotaState {
    let has_ceiling = input.ceiling_rate_per_second > 0.0;
    if input.expectation == QuotaExpectation::Within && input.is_below_credit_threshold && !has_ceiling {
        QuotaState::LocalBucket { within_quota: true }
    } else {
        QuotaState::OverQuota { may_exceed: false }
    }
}
