//! Which queued request is sent next, and whether its customer's quota lets it go.
use crate::action::Action;
use crate::gateway::Gateway;
use crate::id::RequestId;
use crate::mechanism::virtual_finish_queue::FlowHead;
use crate::settings::PlanSettings;
use crate::state::customer::Customer;
use crate::state::request::{QuotaDecision, QuotaState};

/// Time-out of an attempt, in latency objectives. A response after the objective earns little. But while the
/// endpoint may still work on it the attempt belongs to the stock: a shorter time-out let in more than the
/// endpoints could do.
pub(crate) const ATTEMPT_TIMEOUT_OBJECTIVES: f64 = 2.0;

/// Least factor that a plan's weight gives its queue flow: a plan of weight 0 is still served.
const MIN_PLAN_WEIGHT: f64 = 0.01;

impl Gateway {
    /// Sends queued requests for as long as the band has room: the smallest virtual finish first, in order of
    /// arrival within a customer.
    pub(crate) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        self.band.blocked = false;
        while !self.queue.is_empty() {
            let Some(head) = self.next_in_queue(actions) else { return };
            if !self.under_band(head.id).0 {
                (self.band.blocked, self.band.was_blocked) = (true, true);
                return;
            }
            let Some(endpoint) = self.select_endpoint(head.id) else {
                self.band.blocked = true;
                return;
            };
            self.queue.release(head);
            self.send(head.id, endpoint, actions);
        }
    }

    /// The head with the smallest virtual finish among those that quota and band let go. Heads over their
    /// quota leave the queue on the way.
    fn next_in_queue(&mut self, actions: &mut Vec<Action>) -> Option<FlowHead> {
        let mut next: Option<FlowHead> = None;
        for head in self.queue.heads() {
            match self.quota_decision(head.id) {
                QuotaDecision::Wait => {}
                QuotaDecision::OverQuota => self.send_or_finish_over_quota(head, actions),
                // Dispatch credit depends on the class, so that another head may pass where this one can't.
                QuotaDecision::Admit if !self.coordination.is_broadcast() && !self.under_band(head.id).0 => {
                    (self.band.blocked, self.band.was_blocked) = (true, true)
                }
                QuotaDecision::Admit => {
                    if next.is_none_or(|best| head.virtual_finish < best.virtual_finish) {
                        next = Some(head);
                    }
                }
            }
        }
        next
    }

    /// A request over its quota is sent at once, where its plan allows that and there is room, or finished.
    fn send_or_finish_over_quota(&mut self, head: FlowHead, actions: &mut Vec<Action>) {
        self.queue.remove(head.tag, head.id);
        let sendable = QuotaState::OverQuota { within_ceiling: true };
        let may_send = self.requests.active.get(&head.id).is_some_and(|active| active.quota == sendable)
            && self.under_band(head.id).0;
        match if may_send { self.select_endpoint(head.id) } else { None } {
            Some(endpoint) => self.send(head.id, endpoint, actions),
            None => {
                let retry_after_ms =
                    (!self.coordination.is_broadcast()).then_some(self.settings.max_retry_after_ms);
                self.finish(head.id, retry_after_ms, actions)
            }
        }
    }

    /// The weight of a plan's flows in the queue, in units per second. The plan's weight multiplies its rate;
    /// a plan without a rate counts for what its slots can do.
    pub(crate) fn flow_weight(&self, plan: &PlanSettings) -> f64 {
        let rate = if plan.rate_per_second > 0.0 {
            plan.rate_per_second
        } else {
            f64::from(plan.open_limit.max(1)) / (self.mean_response_ms() / 1000.0)
        };
        rate * plan.plan_weight.max(MIN_PLAN_WEIGHT)
    }

    /// Whether quota, open limit and this gateway's part of the ceiling let a request be sent now.
    pub(crate) fn quota_decision(&mut self, id: RequestId) -> QuotaDecision {
        let Some(active) = self.requests.active.get(&id) else { return QuotaDecision::OverQuota };
        let own_bucket = match active.quota {
            QuotaState::LocalBucket => true,
            QuotaState::AdmittedByCounter { .. } => false,
            QuotaState::GrantedByOwner { .. } => return QuotaDecision::Admit,
            QuotaState::OverQuota { .. } => return QuotaDecision::OverQuota,
            QuotaState::AwaitingOwner { .. }
            | QuotaState::QueuedAtOwner { .. }
            | QuotaState::AwaitingCounter => return QuotaDecision::Wait,
        };
        let (tag, units) = (active.tag, active.request.units);
        let plan = &self.settings.plans[active.request.plan];
        if let Some(customer) = self.customers.by_tag.get_mut(&tag) {
            customer.fill(plan, self.clock.now_ms);
        }
        let Some(customer) = self.customers.by_tag.get(&tag) else { return QuotaDecision::OverQuota };
        if own_bucket && plan.rate_per_second > 0.0 && customer.tokens < units {
            return QuotaDecision::OverQuota;
        }
        if plan.open_limit > 0 && self.open_limit_reached(plan.open_limit, customer, tag) {
            return QuotaDecision::Wait;
        }
        if plan.ceiling_rate_per_second > 0.0 && customer.ceiling_tokens < units {
            self.request_ceiling(tag);
            return QuotaDecision::Wait;
        }
        QuotaDecision::Admit
    }

    /// Whether a customer has as many attempts in flight as its plan allows. Peers' attempts are heard of
    /// late: beyond this gateway's part of the limit each peer that was lately busy for the customer may have
    /// one more than it reported. Where gateways outnumber slots only some have a part: a third more of them
    /// than there are slots, since few are busy at once.
    fn open_limit_reached(&self, limit: u32, customer: &Customer, tag: u64) -> bool {
        let (in_flight, busy_peers) = customer.peers_in_flight(self.clock.now_ms);
        let spread = customer.spread as u32;
        let place = (self.settings.me + self.settings.gateways - customer.first) as u32 + tag as u32;
        let has_slot = place % spread < (4 * limit).div_ceil(3);
        let part = (limit / spread).max(u32::from(has_slot));
        let margin = if customer.in_flight < part { 0 } else { busy_peers };
        customer.in_flight + in_flight + margin >= limit
    }

    /// Asks the customer's other gateways for a part of its ceiling with the next report.
    fn request_ceiling(&mut self, tag: u64) {
        if let Some(customer) = self.customers.by_tag.get_mut(&tag) {
            customer.ceiling_requested = true;
            self.customers.unreported.insert(tag);
        }
    }
}
