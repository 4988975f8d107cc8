//! Asking the owner of a customer's quota, and what its responses lead to.
use crate::action::Action;
use crate::gateway::Gateway;
use crate::id::{GatewayIndex, RequestId};
use crate::messages::gossip_message::GossipMessage;
use crate::messages::quota_message::{
    QuotaRequest, QuotaResponse, QuotaVerdict, SamplingFraction, WaitBudget,
};
use crate::policy::quota_owner::{
    may_retry_quota_request, response_wait_ms, SAMPLING_TTL_MS, SUSPECT_MISSED_RESPONSES, SUSPECT_MS,
};
use crate::state::{Coordination, GatewaySet, QuotaExpectation, QuotaRoute, QuotaState};

/// A quota request that the owner did not respond to in time.
#[derive(Debug, Clone, Copy)]
struct MissedResponse {
    /// The request that it was sent for.
    id: RequestId,
    /// The owner that it was sent to.
    owner: GatewayIndex,
    /// How often it had been sent before.
    tries: u32,
}

impl Gateway {
    /// Asks the quota's owner or the counter about a queued request. Where neither may be asked, each gateway
    /// goes by its own bucket.
    pub(crate) fn check_quota(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        match self.coordination {
            Coordination::Gossip(_) => self.request_quota(id, 0, actions),
            Coordination::Counter(_) => self.request_from_counter(id, actions),
            Coordination::Broadcast(_) | Coordination::Isolated => {
                let Some(active) = self.requests.get_mut(id) else { return };
                active.set_quota(QuotaState::LocalBucket { within_quota: true });
                let (tag, plan) = (active.tag, active.request.plan);
                let gateways = GatewaySet::of_request(&active.request, self.settings.gateways);
                self.customer_entry(tag, plan, gateways);
            }
        }
    }

    /// Asks the owner of a queued request's quota. `tries` counts the earlier quota requests for it that got
    /// no response. Where the owner is not to be asked, this gateway decides alone.
    fn request_quota(&mut self, id: RequestId, tries: u32, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get(id) else { return };
        let now_ms = self.clock.now_ms();
        let wait_budget = WaitBudget::from_ms(self.grant_useful_until_ms(active) - now_ms);
        let (tag, previous) = (active.tag, active.quota());
        let request = active.request.clone();
        let gateways = GatewaySet::of_request(&request, self.settings.gateways);
        let customer = self.customer_entry(tag, request.plan, gateways);
        let sampling_fraction =
            SamplingFraction::nearest_above_zero(customer.sampling_fraction_now(now_ms, SAMPLING_TTL_MS));
        let Some(gossip) = self.coordination.gossip_mut() else { return };
        let suspected = |gateway| gossip.is_suspected(gateway, now_ms);
        let owner = gateways.owner(tag, suspected).unwrap_or(self.settings.me);
        let number = gossip.requests.number_for(previous, owner);
        let quota_request = QuotaRequest {
            customer: tag.0,
            plan: request.plan.0 as u32,
            units: request.units.ceil().max(0.0) as u32,
            first_gateway: gateways.first().0 as u32,
            gateways: gateways.len() as u32,
            number,
            wait_budget,
            sampling_fraction,
        };
        match self.quota_route(owner, tries, sampling_fraction) {
            QuotaRoute::AskOwner => self.send_quota_request(id, owner, quota_request, tries, actions),
            QuotaRoute::DecideAlone(expected) => self.decide_without_owner(id, expected),
        }
    }

    /// Sends a quota request to the owner, which may be this gateway.
    fn send_quota_request(
        &mut self,
        id: RequestId,
        owner: GatewayIndex,
        request: QuotaRequest,
        tries: u32,
        actions: &mut Vec<Action>,
    ) {
        let Some(gossip) = self.coordination.gossip_mut() else { return };
        let Some(active) = self.requests.get_mut(id) else { return };
        if owner != self.settings.me {
            gossip.spend_message_token();
        }
        let number = request.number;
        let at_ms = self.clock.now_ms();
        active.set_quota(QuotaState::AwaitingOwner { owner, number, at_ms, tries });
        gossip.requests.insert(number, id);
        self.send_gossip(owner, GossipMessage::request(request), actions);
    }

    /// Sends quota requests again that were not responded to in time, or decides without the owner.
    pub(crate) fn retry_quota_requests(&mut self, actions: &mut Vec<Action>) {
        let now_ms = self.clock.now_ms();
        for missed in self.missed_responses() {
            let Some(gossip) = self.coordination.gossip_mut() else { return };
            if let Some(peer) = gossip.peer_mut(missed.owner) {
                peer.record_missed_response(SUSPECT_MISSED_RESPONSES, now_ms + SUSPECT_MS);
            }
            let tokens = gossip.message_tokens();
            if may_retry_quota_request(&self.settings, missed.tries, tokens) {
                self.request_quota(missed.id, missed.tries + 1, actions);
            } else {
                self.decide_without_owner(missed.id, QuotaExpectation::Within);
            }
        }
    }

    /// Quota requests that have waited too long for a response.
    fn missed_responses(&self) -> Vec<MissedResponse> {
        let Some(gossip) = self.coordination.gossip() else { return Vec::new() };
        let wait_ms = response_wait_ms(&self.settings);
        let missed = gossip.requests.waiting().filter_map(|id| {
            let active = self.requests.get(id)?;
            let QuotaState::AwaitingOwner { owner, at_ms, tries, .. } = active.quota() else { return None };
            (self.clock.now_ms() - at_ms > wait_ms).then_some(MissedResponse { id, owner, tries })
        });
        missed.collect()
    }

    /// Takes in what the owner decided on a request that waits for it.
    pub(crate) fn on_quota_response(&mut self, from: GatewayIndex, response: QuotaResponse) {
        let number = response.number;
        let Some(gossip) = self.coordination.gossip_mut() else { return };
        let Some(id) = gossip.requests.get(number) else { return };
        let Some(active) = self.requests.get_mut(id) else { return gossip.requests.remove(number) };
        if !active.quota().awaits_response(from, number) {
            return;
        }
        active.set_quota(match response.verdict {
            QuotaVerdict::Granted => QuotaState::GrantedByOwner { owner: from, number, ample: false },
            QuotaVerdict::GrantedAmple => QuotaState::GrantedByOwner { owner: from, number, ample: true },
            QuotaVerdict::Queued => QuotaState::QueuedAtOwner { owner: from, number },
            QuotaVerdict::OverQuotaAllowed => QuotaState::OverQuota { within_ceiling: true },
            QuotaVerdict::OverQuota => QuotaState::OverQuota { within_ceiling: false },
        });
        if response.verdict != QuotaVerdict::Queued {
            gossip.requests.remove(number);
        }
        if let Some(customer) = self.customers.get_mut(active.tag) {
            customer.set_sampling_fraction(response.sampling_fraction.fraction(), self.clock.now_ms());
        }
    }
}
