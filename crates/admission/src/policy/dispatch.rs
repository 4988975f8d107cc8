//! Which queued request is sent next, and whether its customer's quota lets it go.
use crate::action::Action;
use crate::gateway::Gateway;
use crate::id::{CustomerTag, RequestId};
use crate::mechanism::virtual_finish_queue::FlowHead;
use crate::policy::peer_messages::message_capacity::PEER_TIMEOUT_MS;
use crate::settings::PlanSettings;
use crate::state::{Customer, QuotaDecision};

/// Time-out of an attempt, in latency objectives. Later responses have little value, but while the endpoint
/// may still work the attempt belongs to the stock: a shorter time-out let in more than endpoints could do.
pub(crate) const ATTEMPT_TIMEOUT_OBJECTIVES: f64 = 2.0;

/// Shortest time-out of an attempt: the host needs one above 0.
pub(crate) const MIN_ATTEMPT_TIMEOUT_MS: f64 = 1.0;

/// Where gateways outnumber a customer's slots, so many of them have a part for so many slots: a third more
/// than there are slots, since few are busy at once.
const SLOT_HOLDERS: u32 = 4;
const SLOTS_HELD: u32 = 3;

/// Least weight of a class or a plan in the queue: one of weight 0 is still served.
pub(crate) const MIN_WEIGHT: f64 = 0.01;

impl Gateway {
    /// The queued request to send next: the smallest virtual finish among the heads that quota and band let
    /// go, in order of arrival within a customer. Heads over their quota leave the queue on the way.
    pub(crate) fn next_to_dispatch(&mut self, actions: &mut Vec<Action>) -> Option<FlowHead> {
        let by_credit = !self.coordination.is_broadcast();
        let mut next: Option<FlowHead> = None;
        for head in self.queue.heads() {
            match self.quota_decision(head.id) {
                QuotaDecision::OverQuota => self.dispatch_over_quota(head, actions),
                // Dispatch credit depends on the class: another head may pass where this one can't.
                QuotaDecision::Admit if by_credit && !self.band_position(head.id).under_lower => {
                    self.band.block()
                }
                QuotaDecision::Admit if next.is_none_or(|best| head.precedes(&best)) => next = Some(head),
                QuotaDecision::Admit | QuotaDecision::Wait => {}
            }
        }
        if !self.band_position(next?.id).under_lower {
            self.band.block();
            return None;
        }
        next
    }

    /// Whether a request over its quota may still be sent: where its plan pays for that and there is room.
    pub(crate) fn may_send_over_quota(&self, id: RequestId) -> bool {
        self.requests.get(id).is_some_and(|active| active.quota().may_exceed_quota())
            && self.band_position(id).under_lower
    }

    /// The weight of a plan's flows in the queue, in units per second. The plan's weight multiplies its rate;
    /// a plan without a rate counts for what its slots can do.
    pub(crate) fn flow_weight(&self, plan: &PlanSettings) -> f64 {
        let rate = if plan.rate_per_second > 0.0 {
            plan.rate_per_second
        } else {
            f64::from(plan.open_limit.max(1)) / (self.latency.mean_response_ms() / 1000.0)
        };
        rate * plan.plan_weight.max(MIN_WEIGHT)
    }

    /// Whether quota, open limit and this gateway's part of the ceiling let a request be sent now.
    pub(crate) fn quota_decision(&mut self, id: RequestId) -> QuotaDecision {
        let Some(active) = self.requests.get(id) else { return QuotaDecision::OverQuota };
        if let Some(decision) = active.quota().decision() {
            return decision;
        }
        let (tag, units) = (active.tag, active.request.units);
        let plan = self.settings.plan(active.request.plan);
        self.customers.refill(tag, plan, self.clock.now_ms());
        let Some(customer) = self.customers.get(tag) else { return QuotaDecision::OverQuota };
        if active.quota().is_local_bucket() && plan.rate_per_second > 0.0 && customer.quota_tokens() < units {
            return QuotaDecision::OverQuota;
        }
        if plan.open_limit > 0 && self.open_limit_reached(plan.open_limit, customer, tag) {
            return QuotaDecision::Wait;
        }
        if plan.ceiling_rate_per_second > 0.0 && customer.ceiling_tokens() < units {
            self.customers.schedule_ceiling_request(tag);
            return QuotaDecision::Wait;
        }
        QuotaDecision::Admit
    }

    /// Whether a customer has as many attempts in flight as its plan allows. Peers' attempts are heard of
    /// late: beyond this gateway's part of the limit each peer that was lately busy for the customer may have
    /// one more than it reported.
    fn open_limit_reached(&self, limit: u32, customer: &Customer, tag: CustomerTag) -> bool {
        let peers = customer.peer_activity(self.clock.now_ms(), PEER_TIMEOUT_MS);
        let spread = customer.gateways().len() as u32;
        let place = customer.gateways().place(tag, self.settings.me);
        let has_slot = place < (SLOT_HOLDERS * limit).div_ceil(SLOTS_HELD);
        let part = (limit / spread).max(u32::from(has_slot));
        let margin = if customer.in_flight() < part { 0 } else { peers.busy };
        customer.in_flight() + peers.in_flight + margin >= limit
    }
}
