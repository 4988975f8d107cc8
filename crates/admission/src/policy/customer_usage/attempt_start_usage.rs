//! The slot and units that an attempt takes from its customer's limits at this gateway when it starts.
use crate::state::QuotaState;

/// An attempt that starts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptStartInput {
    /// The state of the request's quota check.
    pub quota: QuotaState,
    /// Whether this is the request's first attempt.
    pub is_first: bool,
    /// Whether the plan has a quota, so that the customer has a token bucket.
    pub has_quota: bool,
    /// Whether the plan limits the attempts in flight.
    pub has_concurrency_limit: bool,
}

/// The slot and units that an attempt takes from its customer's limits at this gateway when it starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct AttemptStartUsage {
    /// Whether the attempt takes a slot: it counts as one of the customer's attempts in flight here.
    pub takes_slot: bool,
    /// Whether the request's units are taken from the ceiling's bucket.
    pub consumes_ceiling: bool,
    /// Whether the request's units are taken from the quota's bucket.
    pub consumes_quota: bool,
    /// Whether the customer's counts are to be reported to the other gateways that its requests come through.
    pub triggers_report: bool,
}

/// Returns what an attempt takes when it starts. It takes nothing here if the quota's owner counts it, or if
/// the request is `QuotaState::OverQuota`, whose attempts take no slot. The request's units are taken only
/// with the first attempt.
pub(crate) fn usage_at_attempt_start(input: &AttemptStartInput) -> AttemptStartUsage {
    if !input.quota.holds_slot_here() {
        return AttemptStartUsage::default();
    }
    let is_first_within_quota = input.is_first && input.quota.is_within_quota();
    AttemptStartUsage {
        takes_slot: true,
        consumes_ceiling: input.is_first,
        consumes_quota: is_first_within_quota && input.has_quota && input.quota.is_local_bucket(),
        triggers_report: input.has_concurrency_limit || is_first_within_quota,
    }
}
