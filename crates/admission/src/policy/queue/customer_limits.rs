//! Decides whether a customer's quota, concurrency limit and ceiling permit a request now, by this gateway's
//! own records.
use crate::settings::PlanSettings;
use crate::state::QuotaDecision;

/// Number of gateways that count one slot as their own for every `OVERCOMMIT_SLOTS` slots, if a customer has
/// fewer slots than gateways. While such a gateway does not use its slot, it disregards attempts that peers
/// may not have reported yet. There are more such gateways than slots, because few of them have requests of
/// the customer at the same time.
const OVERCOMMIT_GATEWAYS: u32 = 4;

/// Number of slots for which `OVERCOMMIT_GATEWAYS` gateways each count one slot as their own.
const OVERCOMMIT_SLOTS: u32 = 3;

/// A request and the limits of its customer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LimitInput<'a> {
    /// The customer's plan.
    pub(crate) plan: &'a PlanSettings,
    /// Units that the request consumes.
    pub(crate) units: f64,
    /// Whether this gateway's token bucket decides on the quota; if not, the quota counter has decided, or
    /// the request was admitted without a check.
    pub(crate) local_bucket_decides: bool,
    /// Units in the quota's bucket.
    pub(crate) quota_tokens: f64,
    /// Units in the bucket of this gateway's fraction of the hard ceiling.
    pub(crate) ceiling_tokens: f64,
    /// The customer's attempts in flight; `None` if the plan has no concurrency limit.
    pub(crate) slots: Option<SlotUse>,
}

/// The use of a customer's slots, and their division among gateways. The plan's
/// `PlanSettings::concurrency_limit` says what a slot is; here each attempt in flight takes one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlotUse {
    /// The customer's attempts in flight that this gateway sent.
    pub(crate) in_flight: u32,
    /// The customer's attempts in flight that peers sent, by their last reports.
    pub(crate) peer_in_flight: u32,
    /// Number of peers with a recent report on the customer, whether with or without attempts in flight.
    pub(crate) reporting_peers: u32,
    /// Number of gateways that the customer's requests come through.
    pub(crate) gateways: u32,
    /// Position of this gateway among them, from 0. It differs from customer to customer.
    pub(crate) gateway_position: u32,
}

/// The decision whether a customer's limits permit a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LimitDecision {
    /// The request may be sent now.
    Admit,
    /// The request is over the quota.
    OverQuota,
    /// The customer has as many attempts in flight as its plan allows.
    WaitForSlot,
    /// This gateway's fraction of the ceiling has too few units: it must refill, or peers must transfer some.
    WaitForCeiling,
}

impl LimitDecision {
    /// Returns the decision on a queued request that these limits lead to.
    pub(crate) fn quota_decision(self) -> QuotaDecision {
        match self {
            LimitDecision::Admit => QuotaDecision::Admit,
            LimitDecision::OverQuota => QuotaDecision::OverQuota,
            LimitDecision::WaitForSlot | LimitDecision::WaitForCeiling => QuotaDecision::Wait,
        }
    }
}

/// Checks a request against quota, concurrency limit and ceiling, in this order.
pub(crate) fn check_customer_limits(input: &LimitInput) -> LimitDecision {
    let plan = input.plan;
    let has_quota = plan.rate_per_second > 0.0;
    if input.local_bucket_decides && has_quota && input.quota_tokens < input.units {
        return LimitDecision::OverQuota;
    }
    let lacks_slot =
        input.slots.is_some_and(|slots| concurrency_limit_reached(plan.concurrency_limit, &slots));
    if plan.concurrency_limit > 0 && lacks_slot {
        return LimitDecision::WaitForSlot;
    }
    if plan.ceiling_rate_per_second > 0.0 && input.ceiling_tokens < input.units {
        return LimitDecision::WaitForCeiling;
    }
    LimitDecision::Admit
}

/// Returns whether a customer has as many attempts in flight as its plan allows. Peers' reports arrive late:
/// once this gateway uses its own fraction of the slots, each reporting peer is assumed to have one attempt
/// more in flight than it reported.
fn concurrency_limit_reached(limit: u32, slots: &SlotUse) -> bool {
    let has_slot = slots.gateway_position < (OVERCOMMIT_GATEWAYS * limit).div_ceil(OVERCOMMIT_SLOTS);
    let own_slots = (limit / slots.gateways).max(u32::from(has_slot));
    let unreported = if slots.in_flight < own_slots { 0 } else { slots.reporting_peers };
    slots.in_flight + slots.peer_in_flight + unreported >= limit
}
