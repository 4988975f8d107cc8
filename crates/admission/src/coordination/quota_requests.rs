//! The quota check of a queued request in a large fleet: in gossip, counter and isolated mode. In gossip
//! mode: quota requests to the owner of a customer's quota, and how its responses are applied.
use crate::action::Action;
use crate::gateway::Gateway;
use crate::id::{GatewayIndex, RequestId};
use crate::messages::gossip_message::GossipMessage;
use crate::messages::quota_message::{
    QuotaRequest, QuotaResponse, QuotaVerdict, SamplingFraction, WaitBudget,
};
use crate::policy::peer_messages::quota_message_budget::max_message_tokens;
use crate::policy::quota_owner::fallback_decision::{decide_without_owner, WithoutOwnerInput};
use crate::policy::quota_owner::owner_sampling::sampling_fraction_at_age;
use crate::policy::quota_owner::owner_selection::{select_owner, suspected_until_ms};
use crate::policy::quota_owner::quota_request_route::{
    grant_useful_until_ms, response_wait_ms, route_after_missed_response, route_quota_request,
    QuotaRouteInput, TOKENS_PER_QUOTA_REQUEST,
};
use crate::state::{ActiveRequest, Coordination, GatewaySet, QuotaExpectation, QuotaRoute, QuotaState};

/// A quota request that the owner did not respond to in time.
#[derive(Debug, Clone, Copy)]
struct MissedResponse {
    /// The request that the quota request was sent for.
    id: RequestId,
    /// The owner that the quota request was sent to.
    owner: GatewayIndex,
    /// Number of times that the quota request had already been sent again.
    resends: u32,
}

impl Gateway {
    /// Begins the quota check of a queued request. Depending on the fleet's mode, the quota owner, the quota
    /// counter or this gateway's own token bucket decides. Not called in broadcast mode, in which admission
    /// itself checks the token bucket.
    pub(crate) fn check_quota(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        match self.coordination {
            Coordination::Gossip(_) => self.request_quota(id, 0, actions),
            Coordination::Counter(_) => self.check_quota_at_counter(id, actions),
            Coordination::Broadcast(_) | Coordination::Isolated => {
                let Some(active) = self.requests.get_mut(id) else { return };
                active.set_quota_state(QuotaState::LocalBucket { within_quota: true });
                let (key, plan) = (active.customer_key, active.request.plan);
                let gateways = GatewaySet::of_request(&active.request, self.settings.gateways);
                self.record_customer_request(key, plan, gateways);
            }
        }
    }

    /// Sends the quota owner a quota request for a queued request, or decides without the owner. `resends` is
    /// the number of earlier quota requests for it that got no response.
    fn request_quota(&mut self, id: RequestId, resends: u32, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get(id) else { return };
        let now_ms = self.clock.now_ms();
        let this_gateway = self.settings.this_gateway;
        let wait_budget = WaitBudget::from_ms(self.grant_useful_until_ms(active) - now_ms);
        let (key, previous) = (active.customer_key, active.quota_state());
        let (plan, units) = (active.request.plan, active.request.units);
        let gateways = GatewaySet::of_request(&active.request, self.settings.gateways);
        let customer = self.record_customer_request(key, plan, gateways);
        let sampling =
            sampling_fraction_at_age(customer.sampling_fraction(), customer.sampling_age_ms(now_ms));
        let sampling_fraction = SamplingFraction::nearest_above_zero(sampling);
        let Some(gossip) = self.coordination.gossip_mut() else { return };
        let is_suspected = |gateway| gossip.is_suspected(gateway, now_ms);
        let owner = select_owner(gateways.rendezvous_ranking(key), is_suspected, this_gateway);
        let number = gossip.pending_requests.number_for(previous, owner);
        let route = route_quota_request(QuotaRouteInput {
            owns_quota: owner == this_gateway,
            resends,
            sampling: sampling_fraction,
            draw: self.random.next_fraction(),
            message_tokens: gossip.message_tokens(),
        });
        if let QuotaRoute::WithoutOwner(expectation) = route {
            return self.decide_without_owner(id, expectation);
        }
        let quota_request = QuotaRequest {
            customer: key.0,
            plan: plan.0 as u32,
            units: units.ceil().max(0.0) as u32,
            first_gateway: gateways.first().0 as u32,
            gateway_count: gateways.len() as u32,
            number,
            wait_budget,
            sampling_fraction,
        };
        self.send_quota_request(id, owner, quota_request, resends, actions);
    }

    /// Sends a quota request to the owner, which may be this gateway.
    fn send_quota_request(
        &mut self,
        id: RequestId,
        owner: GatewayIndex,
        request: QuotaRequest,
        resends: u32,
        actions: &mut Vec<Action>,
    ) {
        let Some(gossip) = self.coordination.gossip_mut() else { return };
        let Some(active) = self.requests.get_mut(id) else { return };
        if owner != self.settings.this_gateway {
            gossip.spend_message_tokens(TOKENS_PER_QUOTA_REQUEST);
        }
        let number = request.number;
        let sent_ms = self.clock.now_ms();
        active.set_quota_state(QuotaState::AwaitingOwner { owner, number, sent_ms, resends });
        gossip.pending_requests.insert(number, id);
        self.send_gossip(owner, GossipMessage::request(request), actions);
    }

    /// Decides on a request without the owner of its customer's quota.
    pub(crate) fn decide_without_owner(&mut self, id: RequestId, expectation: QuotaExpectation) {
        let is_below_credit_threshold = self.is_below_credit_threshold();
        let Some(active) = self.requests.get_mut(id) else { return };
        active.set_quota_state(decide_without_owner(WithoutOwnerInput {
            expectation,
            is_below_credit_threshold,
            ceiling_rate_per_second: self.settings.plan(active.request.plan).ceiling_rate_per_second,
        }));
    }

    /// Returns until when a grant is of use to a request, in ms.
    fn grant_useful_until_ms(&self, active: &ActiveRequest) -> f64 {
        let mean_response_ms = self.latency.response_ms(active.request.class);
        grant_useful_until_ms(active.objective_at_ms, active.deadline_at_ms, mean_response_ms)
    }

    /// Sends quota requests again that got no response in time, or decides without the owner. Records the
    /// missed responses, after which an owner may be suspected to be down.
    pub(crate) fn resend_quota_requests(&mut self, actions: &mut Vec<Action>) {
        let now_ms = self.clock.now_ms();
        for missed in self.missed_responses() {
            let Some(gossip) = self.coordination.gossip_mut() else { return };
            if let Some(peer) = gossip.peer_mut(missed.owner) {
                let missed_responses = peer.record_missed_response();
                if let Some(until_ms) = suspected_until_ms(missed_responses, now_ms) {
                    peer.suspect(until_ms);
                }
            }
            let max_tokens = max_message_tokens(self.settings.peer_messages_per_second);
            match route_after_missed_response(missed.resends, gossip.message_tokens(), max_tokens) {
                QuotaRoute::ToOwner => self.request_quota(missed.id, missed.resends + 1, actions),
                QuotaRoute::WithoutOwner(expectation) => self.decide_without_owner(missed.id, expectation),
            }
        }
    }

    /// Returns the quota requests that have waited too long for a response.
    fn missed_responses(&self) -> Vec<MissedResponse> {
        let Some(gossip) = self.coordination.gossip() else { return Vec::new() };
        let wait_ms = response_wait_ms(self.settings.shortest_objective_ms());
        let missed = gossip.pending_requests.request_ids().filter_map(|id| {
            let active = self.requests.get(id)?;
            let QuotaState::AwaitingOwner { owner, sent_ms, resends, .. } = active.quota_state() else {
                return None;
            };
            (self.clock.now_ms() - sent_ms > wait_ms).then_some(MissedResponse { id, owner, resends })
        });
        missed.collect()
    }

    /// Applies the owner's decision to the request that waits for it.
    pub(crate) fn on_quota_response(&mut self, from: GatewayIndex, response: QuotaResponse) {
        let number = response.number;
        let Some(gossip) = self.coordination.gossip_mut() else { return };
        let Some(id) = gossip.pending_requests.get(number) else { return };
        let Some(active) = self.requests.get_mut(id) else { return gossip.pending_requests.remove(number) };
        if !active.quota_state().awaits_response(from, number) {
            return;
        }
        active.set_quota_state(QuotaState::after_verdict(response.verdict, from, number));
        if response.verdict != QuotaVerdict::Queued {
            gossip.pending_requests.remove(number);
        }
        if let Some(customer) = self.customers.get_mut(active.customer_key) {
            customer.set_sampling_fraction(response.sampling_fraction.fraction(), self.clock.now_ms());
        }
    }
}
