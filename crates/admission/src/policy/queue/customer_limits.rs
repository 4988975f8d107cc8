//! Whether quota, open limit and ceiling of a customer, as this gateway records them, permit a request now.
use crate::settings::PlanSettings;
use crate::state::QuotaDecision;

/// Gateways that may each use one of `SLOTS_PER_GROUP` slots, where gateways outnumber a customer's slots.
/// More gateways than slots may, because few of them are busy for the customer at once.
const GATEWAYS_PER_GROUP: u32 = 4;

/// Slots that `GATEWAYS_PER_GROUP` gateways may use.
const SLOTS_PER_GROUP: u32 = 3;

/// A request and the limits of its customer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LimitInput<'a> {
    /// The customer's plan.
    pub(crate) plan: &'a PlanSettings,
    /// Units that the request counts.
    pub(crate) units: f64,
    /// Whether this gateway's token bucket decides on the quota; else another gateway or the counter did.
    pub(crate) local_bucket_decides: bool,
    /// Units in the quota's bucket.
    pub(crate) quota_tokens: f64,
    /// Units in this gateway's fraction of the hard ceiling.
    pub(crate) ceiling_tokens: f64,
    /// The customer's attempts in flight; `None` where the plan has no open limit.
    pub(crate) slots: Option<SlotUse>,
}

/// A customer's attempts in flight, and how its slots are spread over gateways.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlotUse {
    /// Attempts in flight of this gateway.
    pub(crate) in_flight: u32,
    /// Attempts in flight of peers, by their last reports.
    pub(crate) peer_in_flight: u32,
    /// Peers whose last report of the customer still counts, whether it had attempts in flight or not.
    pub(crate) reporting_peers: u32,
    /// Gateways that the customer's requests come through.
    pub(crate) gateways: u32,
    /// This gateway's place among them for this customer, from 0.
    pub(crate) place: u32,
}

/// Whether a customer's limits permit a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LimitDecision {
    /// It may be sent now.
    Admit,
    /// It is over the quota.
    OverQuota,
    /// The customer has as many attempts in flight as its plan allows.
    WaitForSlot,
    /// This gateway's fraction of the ceiling lacks units: peers must give some, or it must fill.
    WaitForCeiling,
}

impl LimitDecision {
    /// What this means for the request in the queue.
    pub(crate) fn quota_decision(self) -> QuotaDecision {
        match self {
            LimitDecision::Admit => QuotaDecision::Admit,
            LimitDecision::OverQuota => QuotaDecision::OverQuota,
            LimitDecision::WaitForSlot | LimitDecision::WaitForCeiling => QuotaDecision::Wait,
        }
    }
}

/// Checks a request against quota, open limit and ceiling, in this order.
pub(crate) fn check_customer_limits(input: &LimitInput) -> LimitDecision {
    let plan = input.plan;
    let has_quota = plan.rate_per_second > 0.0;
    if input.local_bucket_decides && has_quota && input.quota_tokens < input.units {
        return LimitDecision::OverQuota;
    }
    let lacks_slot = input.slots.is_some_and(|slots| open_limit_reached(plan.concurrency_limit, &slots));
    if plan.concurrency_limit > 0 && lacks_slot {
        return LimitDecision::WaitForSlot;
    }
    if plan.ceiling_rate_per_second > 0.0 && input.ceiling_tokens < input.units {
        return LimitDecision::WaitForCeiling;
    }
    LimitDecision::Admit
}

/// Whether a customer has as many attempts in flight as its plan allows. Peers' reports come late: once this
/// gateway uses all slots of its own, each busy peer may have one attempt more than it reported.
fn open_limit_reached(limit: u32, slots: &SlotUse) -> bool {
    let has_slot = slots.place < (GATEWAYS_PER_GROUP * limit).div_ceil(SLOTS_PER_GROUP);
    let own_slots = (limit / slots.gateways).max(u32::from(has_slot));
    let unreported = if slots.in_flight < own_slots { 0 } else { slots.reporting_peers };
    slots.in_flight + slots.peer_in_flight + unreported >= limit
}
