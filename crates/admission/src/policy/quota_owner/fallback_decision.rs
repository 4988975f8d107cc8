//! What a gateway decides on a request without the owner of the customer's quota: the owner did not respond,
//! is sent a sample of the requests only, or no message may be sent to it now.
use crate::state::{QuotaExpectation, QuotaState};

/// What is known when a gateway decides without the owner.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FallbackInput {
    /// What is expected of the customer.
    pub(crate) expectation: QuotaExpectation,
    /// The fleet has so few attempts in flight that requests are sent without dispatch credit.
    pub(crate) band_is_ungated: bool,
    /// Rate of the plan's hard ceiling in units per second; 0: no ceiling.
    pub(crate) ceiling_rate_per_second: f64,
}

/// Decides on a request without the owner. Most customers are well inside their quota, so while the endpoints
/// have spare capacity this gateway's own token bucket decides. It does not where the owner recently granted
/// less than was requested. Under a hard ceiling nothing is sent, since only the owner knows how much of it
/// is spent.
pub(crate) fn decide_without_owner(input: FallbackInput) -> QuotaState {
    let has_ceiling = input.ceiling_rate_per_second > 0.0;
    if input.expectation == QuotaExpectation::Within && input.band_is_ungated && !has_ceiling {
        QuotaState::LocalBucket { within_quota: true }
    } else {
        QuotaState::OverQuota { may_exceed: false }
    }
}
