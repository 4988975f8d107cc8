//! Which queued request is dispatched next.
//!
//! Only the head of each customer's flow is considered, so that requests of a customer stay in order. Of the
//! heads that quota and band permit, the one with the smallest virtual finish is dispatched.
use crate::mechanism::virtual_finish_queue::FlowHead;
use crate::state::{BandPosition, QuotaDecision};

/// What becomes of the head of a flow in a round of dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeadDecision {
    /// It may be dispatched next.
    Eligible,
    /// Its customer's quota does not permit it yet.
    AwaitsQuota,
    /// Its quota permits it, but dispatch credit for its class is short.
    BlockedByBand,
    /// It is over its quota: it is removed from the queue, and sent beyond the quota or rejected.
    OverQuota,
}

/// Judges a head in broadcast mode. The band is the same for all heads there, so that it is checked once, for
/// the head that is chosen.
pub(crate) fn head_decision_in_broadcast_mode(quota: QuotaDecision) -> HeadDecision {
    match quota {
        QuotaDecision::Admit => HeadDecision::Eligible,
        QuotaDecision::Wait => HeadDecision::AwaitsQuota,
        QuotaDecision::OverQuota => HeadDecision::OverQuota,
    }
}

/// Judges a head in a large fleet. The credit required depends on the class there: another head may pass
/// where this one can't. `band_position` is called only for a head that its quota permits.
pub(crate) fn head_decision_in_large_fleet(
    quota: QuotaDecision,
    band_position: impl FnOnce() -> BandPosition,
) -> HeadDecision {
    match quota {
        QuotaDecision::Admit if band_position().permits_queued_request() => HeadDecision::Eligible,
        QuotaDecision::Admit => HeadDecision::BlockedByBand,
        QuotaDecision::Wait => HeadDecision::AwaitsQuota,
        QuotaDecision::OverQuota => HeadDecision::OverQuota,
    }
}

/// Which of two eligible heads is dispatched first: the one with the smaller virtual finish, and of two
/// alike the one seen first.
pub(crate) fn earlier_head(seen: Option<FlowHead>, head: FlowHead) -> FlowHead {
    match seen {
        Some(seen) if !head.precedes(&seen) => seen,
        _ => head,
    }
}

/// Whether a head over its quota is sent beyond it: where its plan pays for that, within the ceiling, and
/// the stock is under the band's lower bound. In broadcast mode a queued request never is: it was queued as
/// within its quota. `band_position` is called only for a head that may exceed its
/// quota.
pub(crate) fn may_send_over_quota(
    may_exceed_quota: bool,
    band_position: impl FnOnce() -> BandPosition,
) -> bool {
    may_exceed_quota && band_position().permits_queued_request()
}
