//! What an attempt takes of its customer's limits when it starts.
use crate::state::QuotaState;

/// What decides what an attempt takes when it starts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptStartInput {
    /// Where its request stands with the quota.
    pub quota: QuotaState,
    /// It is the first attempt of its request.
    pub is_first: bool,
    /// Its plan has a rate, so that the customer has a token bucket.
    pub has_quota: bool,
    /// Its plan limits the attempts in flight.
    pub has_open_limit: bool,
}

/// What an attempt takes when it starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct AttemptStartUsage {
    /// A slot: it counts to the customer's attempts in flight here.
    pub takes_slot: bool,
    /// The request's units of the ceiling's bucket.
    pub consumes_ceiling: bool,
    /// The request's units of the token bucket here.
    pub consumes_quota: bool,
    /// The customer's counts are reported to its other gateways.
    pub triggers_report: bool,
}

/// What an attempt takes when it starts: nothing where another gateway counts it, and the request's units
/// only with its first attempt.
pub(crate) fn usage_at_attempt_start(input: &AttemptStartInput) -> AttemptStartUsage {
    if !input.quota.holds_slot_here() {
        return AttemptStartUsage::default();
    }
    let is_first_within_quota = input.is_first && input.quota.is_within_quota();
    AttemptStartUsage {
        takes_slot: true,
        consumes_ceiling: input.is_first,
        consumes_quota: is_first_within_quota && input.has_quota && input.quota.is_local_bucket(),
        triggers_report: input.has_open_limit || is_first_within_quota,
    }
}
