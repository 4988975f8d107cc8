//! Which queued request leaves next.
//!
//! Only the head of each customer's flow may leave, so that requests of a customer keep their order. Of the heads
//! that quota and band permit, the one with the smallest virtual finish leaves.
use crate::mechanism::virtual_finish_queue::FlowHead;
use crate::state::QuotaDecision;

/// What becomes of the head of a flow in a round of dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeadDecision {
    /// It may be the next to leave.
    Eligible,
    /// Its customer's quota does not permit it yet.
    AwaitsQuota,
    /// Its quota permits it, but dispatch credit for its class is short.
    BlockedByBand,
    /// It is over its quota: it leaves the queue, sent beyond the quota or rejected.
    OverQuota,
}

/// Judges a head in broadcast mode. The band is the same for all heads there, so that it is checked once, for
/// the head that is chosen.
pub(crate) fn judge_head_in_broadcast_mode(quota: QuotaDecision) -> HeadDecision {
    match quota {
        QuotaDecision::Admit => HeadDecision::Eligible,
        QuotaDecision::Wait => HeadDecision::AwaitsQuota,
        QuotaDecision::OverQuota => HeadDecision::OverQuota,
    }
}

/// Judges a head in a large fleet. The credit required depends on the class there: another head may pass where
/// this one can't. `has_dispatch_credit` is called only for a head that its quota permits.
pub(crate) fn judge_head_in_large_fleet(
    quota: QuotaDecision,
    has_dispatch_credit: impl FnOnce() -> bool,
) -> HeadDecision {
    match quota {
        QuotaDecision::Admit if has_dispatch_credit() => HeadDecision::Eligible,
        QuotaDecision::Admit => HeadDecision::BlockedByBand,
        QuotaDecision::Wait => HeadDecision::AwaitsQuota,
        QuotaDecision::OverQuota => HeadDecision::OverQuota,
    }
}

/// Which of two eligible heads leaves first: the one with the smaller virtual finish, and of two alike the one
/// seen first.
pub(crate) fn first_to_leave(seen: Option<FlowHead>, head: FlowHead) -> FlowHead {
    match seen {
        Some(seen) if !head.precedes(&seen) => seen,
        _ => head,
    }
}

/// Whether a head over its quota is sent beyond it: where its plan pays for that, within the ceiling, and the
/// stock is under the band's lower bound. `is_under_lower` is called only for a head that may exceed its quota.
pub(crate) fn may_send_over_quota(may_exceed_quota: bool, is_under_lower: impl FnOnce() -> bool) -> bool {
    may_exceed_quota && is_under_lower()
}
