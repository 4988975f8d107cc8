//! Selects the queued request that is dispatched next.
//!
//! Only the head of each customer's flow is considered, so that requests of a customer stay in order. Of the
//! heads that their customers' limits and the band permit, the one with the smallest virtual finish time is
//! dispatched.
use crate::mechanism::virtual_finish_queue::FlowHead;
use crate::state::{BandPosition, QuotaDecision};

/// The decision on the head of a flow in a round of dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeadDecision {
    /// The head may be dispatched next.
    Eligible,
    /// The head waits for a response about its quota, for a slot, or for units of the customer's ceiling.
    AwaitsCustomerLimit,
    /// The quota permits the head, but there is too little dispatch credit for its class.
    BlockedByBand,
    /// The head is over its quota: it is removed from the queue, and sent although it is over, or rejected.
    OverQuota,
}

/// Decides on a head in broadcast mode. The band is the same for all heads there, so it is checked only once,
/// for the head that is chosen.
pub(crate) fn head_decision_in_broadcast_mode(quota: QuotaDecision) -> HeadDecision {
    match quota {
        QuotaDecision::Admit => HeadDecision::Eligible,
        QuotaDecision::Wait => HeadDecision::AwaitsCustomerLimit,
        QuotaDecision::OverQuota => HeadDecision::OverQuota,
    }
}

/// Decides on a head in a large fleet. The dispatch credit that a head requires depends on its class, so the
/// band may permit one head and not another. `band_position` is called only for a head that its quota
/// permits.
pub(crate) fn head_decision_in_large_fleet(
    quota: QuotaDecision,
    band_position: impl FnOnce() -> BandPosition,
) -> HeadDecision {
    match quota {
        QuotaDecision::Admit if band_position().permits_queued_request() => HeadDecision::Eligible,
        QuotaDecision::Admit => HeadDecision::BlockedByBand,
        QuotaDecision::Wait => HeadDecision::AwaitsCustomerLimit,
        QuotaDecision::OverQuota => HeadDecision::OverQuota,
    }
}

/// Returns the eligible head that is dispatched first: the one with the smaller virtual finish time, or
/// `earliest` if both are equal. `earliest` is the result for the heads compared so far.
pub(crate) fn earlier_head(earliest: Option<FlowHead>, head: FlowHead) -> FlowHead {
    match earliest {
        Some(earliest) if !head.precedes(&earliest) => earliest,
        _ => head,
    }
}

/// Returns whether a head that is over its quota is sent all the same: only if it may exceed its quota,
/// because its plan allows that and its ceiling permits it, and if the band is under its lower bound. In
/// broadcast mode no head may exceed its quota, because only requests within their quota are queued there.
/// `band_position` is called only for a head that may exceed its quota.
pub(crate) fn may_send_over_quota(
    may_exceed_quota: bool,
    band_position: impl FnOnce() -> BandPosition,
) -> bool {
    may_exceed_quota && band_position().permits_queued_request()
}
