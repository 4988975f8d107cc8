//! Sends the queued requests that their quotas and the band permit, in the order of the queue.
use crate::action::Action;
use crate::gateway::Gateway;
use crate::id::RequestId;
use crate::mechanism::virtual_finish_queue::FlowHead;
use crate::policy::peer_messages::message_capacity::PEER_TIMEOUT_MS;
use crate::policy::queue::customer_limits::{check_customer_limits, LimitDecision, LimitInput, SlotUse};
use crate::policy::queue::dispatch_order::{
    earlier_head, head_decision_in_broadcast_mode, head_decision_in_large_fleet, may_send_over_quota,
    HeadDecision,
};
use crate::state::{ActiveRequest, Customer, FleetMode, QuotaDecision};

impl Gateway {
    /// Sends queued requests as long as one is permitted and an endpoint is found for it.
    pub(crate) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        self.band.begin_dispatch();
        while let Some(head) = self.next_to_dispatch(actions) {
            let Some(endpoint) = self.select_endpoint(head.id) else {
                self.band.record_wait_for_endpoint();
                return;
            };
            self.queue.dequeue(head);
            self.send(head.id, endpoint, actions);
        }
    }

    /// Returns the queued request to send next. Removes heads that are over their quota, and sends or
    /// finishes them.
    fn next_to_dispatch(&mut self, actions: &mut Vec<Action>) -> Option<FlowHead> {
        let mode = self.coordination.fleet_mode();
        let mut next: Option<FlowHead> = None;
        for head in self.queue.heads() {
            match self.head_decision(head.id, mode) {
                HeadDecision::Eligible => next = Some(earlier_head(next, head)),
                HeadDecision::BlockedByBand => self.band.record_wait_for_band(),
                HeadDecision::OverQuota => self.dispatch_over_quota(head, actions),
                HeadDecision::AwaitsCustomerLimit => {}
            }
        }
        // In broadcast mode this is the only check of the band. In a large fleet the band was checked for
        // each head, but heads over their quota that were sent in this loop have spent dispatch credit since.
        if !self.band_position(next?.id).permits_queued_request() {
            self.band.record_wait_for_band();
            return None;
        }
        next
    }

    /// Returns the decision on the head of a flow.
    fn head_decision(&mut self, id: RequestId, mode: FleetMode) -> HeadDecision {
        let quota = self.quota_decision(id);
        match mode {
            FleetMode::Broadcast => head_decision_in_broadcast_mode(quota),
            FleetMode::LargeFleet => head_decision_in_large_fleet(quota, || self.band_position(id)),
        }
    }

    /// Removes a request that is over its quota from the queue, and sends or finishes it.
    fn dispatch_over_quota(&mut self, head: FlowHead, actions: &mut Vec<Action>) {
        self.queue.remove(head.key, head.id);
        let endpoint = if self.may_send_over_quota(head.id) { self.select_endpoint(head.id) } else { None };
        match endpoint {
            Some(endpoint) => self.send(head.id, endpoint, actions),
            None => self.finish(head.id, self.over_quota_retry_after_ms(), actions),
        }
    }

    /// Returns whether a request that is over its quota may still be sent.
    pub(crate) fn may_send_over_quota(&self, id: RequestId) -> bool {
        let Some(active) = self.requests.get(id) else { return false };
        may_send_over_quota(active.quota_state().may_exceed_quota(), || self.band_position(id))
    }

    /// Decides whether quota, concurrency limit and ceiling permit a request to be sent now. An unknown
    /// request is treated as over the quota. If units of the ceiling are short, schedules a request to peers
    /// for some.
    pub(crate) fn quota_decision(&mut self, id: RequestId) -> QuotaDecision {
        let Some(active) = self.requests.get(id) else { return QuotaDecision::OverQuota };
        if let Some(decision) = active.quota_state().decision() {
            return decision;
        }
        let key = active.customer_key;
        let plan = self.settings.plan(active.request.plan);
        self.customers.refill(key, plan, self.clock.now_ms());
        let Some(limits) = self.customer_limits(id) else { return QuotaDecision::OverQuota };
        if limits == LimitDecision::WaitForCeiling {
            self.schedule_ceiling_request(key);
        }
        limits.quota_decision()
    }

    /// Returns what the customer's limits permit, by this gateway's records as of the customer's last refill;
    /// `None` if there is no such request or customer.
    pub(crate) fn customer_limits(&self, id: RequestId) -> Option<LimitDecision> {
        let active = self.requests.get(id)?;
        let customer = self.customers.get(active.customer_key)?;
        let plan = self.settings.plan(active.request.plan);
        Some(check_customer_limits(&LimitInput {
            plan,
            units: active.request.units,
            local_bucket_decides: active.quota_state().is_local_bucket(),
            quota_tokens: customer.quota_tokens(),
            ceiling_tokens: customer.ceiling_tokens(),
            slots: (plan.concurrency_limit > 0).then(|| self.slot_use(active, customer)),
        }))
    }

    /// Returns a customer's attempts in flight, and how its slots are spread over gateways.
    fn slot_use(&self, active: &ActiveRequest, customer: &Customer) -> SlotUse {
        let peers = customer.peer_activity(self.clock.now_ms(), PEER_TIMEOUT_MS);
        SlotUse {
            in_flight: customer.in_flight(),
            peer_in_flight: peers.in_flight,
            reporting_peers: peers.reporting_peers,
            gateways: customer.gateways().len() as u32,
            gateway_position: customer
                .gateways()
                .rotated_position(active.customer_key, self.settings.this_gateway),
        }
    }
}
