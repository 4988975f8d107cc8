//! Gossip mode, the quota owner's side: responses to the quota requests of other gateways.
use crate::action::Action;
use crate::gateway::Gateway;
use crate::id::{CustomerKey, GatewayIndex, PlanIndex};
use crate::messages::gossip_message::GossipMessage;
use crate::messages::quota_message::{
    QuotaRelease, QuotaRequest, QuotaRequestNumber, QuotaResponse, QuotaVerdict, SamplingFraction,
};
use crate::policy::quota_owner::owner_sampling::{
    wanted_sampling_fraction, QuotaDemand, AMPLE_SAMPLING_FRACTION, RATE_TIME_CONSTANT_S, SLOT_GRANT_UNITS,
};
use crate::policy::quota_owner::owner_verdict::{
    decide_quota_request, grant_extension_ms, has_free_slot, verdict_to_send, OwnedQuota,
};
use crate::policy::quota_owner::unit_bounds::{bounded_release_units, bounded_request_units};
use crate::settings::PlanSettings;
use crate::state::{Customer, GatewaySet, QuotaRequestRecord};

/// A quota request as the owner handles it: its units bounded, and its times on this gateway's clock.
#[derive(Debug, Clone, Copy)]
struct ReceivedQuotaRequest {
    /// The gateway that sent the quota request.
    gateway: GatewayIndex,
    /// The quota request's number at its sender.
    number: QuotaRequestNumber,
    /// Units of the request that the quota request is for, at most what one request may consume.
    units: f64,
    /// Units of all requests that the sampled request represents, itself included.
    represented_units: f64,
    /// Until when the request may wait for a slot, in ms.
    waits_until_ms: f64,
    /// When the grant expires if the request is granted, in ms.
    expires_ms: f64,
}

impl Gateway {
    /// Returns the time between the end of the time for which a request may wait and the expiry of its grant,
    /// in ms.
    pub(crate) fn grant_extension_ms(&self) -> f64 {
        grant_extension_ms(self.settings.longest_objective_ms())
    }

    /// Applies the quota requests, responses and releases of a message.
    pub(crate) fn on_quota_messages(
        &mut self,
        from: GatewayIndex,
        message: GossipMessage,
        actions: &mut Vec<Action>,
    ) {
        for request in message.requests {
            if let Some(response) = self.respond_as_owner(from, &request) {
                self.send_gossip(from, GossipMessage::response(response), actions);
            }
        }
        for response in message.responses {
            self.on_quota_response(from, response);
        }
        for release in message.releases {
            self.on_quota_release(from, release, actions);
        }
    }

    /// Decides on a quota request as the owner. A grant's units and slot are taken before the response is
    /// sent. Returns `None` if the sender must not send this quota request to this gateway.
    fn respond_as_owner(&mut self, from: GatewayIndex, request: &QuotaRequest) -> Option<QuotaResponse> {
        let plan_index = PlanIndex(request.plan as usize);
        if plan_index.0 >= self.settings.plans.len() {
            return None;
        }
        let gateways = self.checked_gateways(from, request)?;
        let now_ms = self.clock.now_ms();
        let received = self.received_quota_request(from, request);
        let key = CustomerKey(request.customer);
        if !self.has_room_for_customer(key) {
            return Some(refusal_without_record(request.number));
        }
        let (customer, plan) = self.record_customer_request_with_plan(key, plan_index, gateways);
        customer.grants.expire(now_ms);
        let verdict = apply_quota_request(customer, plan, &received, now_ms);
        let verdict = verdict_to_send(plan, verdict, customer.quota_tokens());
        let sampling_fraction = match verdict {
            QuotaVerdict::GrantedAmple => AMPLE_SAMPLING_FRACTION,
            _ => wanted_sampling_fraction(quota_demand(customer, plan, now_ms)),
        };
        let sampling_fraction = SamplingFraction::nearest(sampling_fraction);
        Some(QuotaResponse { number: request.number, verdict, sampling_fraction })
    }

    /// Returns the gateways that the customer's requests come through, as the quota request states them.
    /// Returns `None` if they are not gateways of this fleet, or if the sender or this gateway is not among
    /// them.
    ///
    /// Guards against messages that are corrupt or of another fleet, which could spend a quota that this
    /// gateway can never own.
    fn checked_gateways(&self, from: GatewayIndex, request: &QuotaRequest) -> Option<GatewaySet> {
        let first = GatewayIndex(request.first_gateway as usize);
        let len = request.gateway_count as usize;
        let gateways = GatewaySet::try_new(first, len, self.settings.gateways)?;
        (gateways.contains(from) && gateways.contains(self.settings.this_gateway)).then_some(gateways)
    }

    /// Converts a quota request to what the owner handles: bounds its units, and turns its wait budget into a
    /// time.
    fn received_quota_request(&self, from: GatewayIndex, request: &QuotaRequest) -> ReceivedQuotaRequest {
        let units = bounded_request_units(f64::from(request.units), self.settings.max_units);
        let waits_until_ms = self.clock.now_ms() + request.wait_budget.ms();
        ReceivedQuotaRequest {
            gateway: from,
            number: request.number,
            units,
            represented_units: request.sampling_fraction.extrapolate(units),
            waits_until_ms,
            expires_ms: waits_until_ms + self.grant_extension_ms(),
        }
    }

    /// Applies the release of a request that has ended. If the request had been granted, settles its units
    /// and grants its slot to a waiting request. If it was only queued, removes it from the queue.
    fn on_quota_release(&mut self, from: GatewayIndex, release: QuotaRelease, actions: &mut Vec<Action>) {
        let Some(customer) = self.customers.get_mut(CustomerKey(release.customer)) else { return };
        let Some(plan) = customer.plan().map(|p| self.settings.plan(p)) else { return };
        if !customer.grants.release(from, release.number) {
            return;
        }
        customer.refill(plan, self.clock.now_ms());
        if plan.rate_per_second > 0.0 {
            let units = release.additional_units.units();
            customer.settle_grant(plan, bounded_release_units(units, self.settings.max_units));
        }
        if has_free_slot(plan, customer.grants.granted_count()) {
            self.grant_next_waiting(CustomerKey(release.customer), actions);
        }
    }

    /// Grants a free slot to the request that has waited longest. Neither the quota nor the ceiling is
    /// charged with the request's units, because the record of a queued request doesn't contain them.
    fn grant_next_waiting(&mut self, key: CustomerKey, actions: &mut Vec<Action>) {
        let now_ms = self.clock.now_ms();
        let extension_ms = self.grant_extension_ms();
        let Some(customer) = self.customers.get_mut(key) else { return };
        let Some(waiting) = customer.grants.next_waiting(now_ms) else { return };
        let grant = QuotaRequestRecord { expires_ms: waiting.expires_ms + extension_ms, ..waiting };
        customer.grants.grant(grant, SLOT_GRANT_UNITS, now_ms, RATE_TIME_CONSTANT_S);
        let response = QuotaResponse {
            number: grant.number,
            verdict: QuotaVerdict::Granted,
            // Not the fraction that this owner wants now: the one in the last response to its own quota
            // requests, or 1 if it has sent none.
            sampling_fraction: SamplingFraction::at_most(customer.sampling_fraction()),
        };
        self.send_gossip(grant.gateway, GossipMessage::response(response), actions);
    }
}

/// Decides on a received quota request and records it.
///
/// Guards against a lost response, after which the sender repeats the quota request and it would be charged
/// twice. Its number shows that it is already granted or waiting, and it gets the same verdict at no cost.
fn apply_quota_request(
    customer: &mut Customer,
    plan: &PlanSettings,
    request: &ReceivedQuotaRequest,
    now_ms: f64,
) -> QuotaVerdict {
    let &ReceivedQuotaRequest { gateway, number, units, .. } = request;
    if customer.grants.is_granted(gateway, number) {
        return QuotaVerdict::Granted;
    }
    customer.grants.record_demand(request.represented_units, now_ms, RATE_TIME_CONSTANT_S);
    if customer.grants.is_waiting(gateway, number) {
        return QuotaVerdict::Queued;
    }
    let owned = OwnedQuota {
        quota_tokens: customer.quota_tokens(),
        ceiling_tokens: customer.ceiling_tokens(),
        granted_requests: customer.grants.granted_count(),
        waiting_requests: customer.grants.waiting_count(),
    };
    let verdict = decide_quota_request(plan, owned, units);
    match verdict {
        QuotaVerdict::Granted | QuotaVerdict::GrantedAmple => {
            let grant = QuotaRequestRecord { gateway, number, expires_ms: request.expires_ms };
            customer.charge_grant(plan, units);
            customer.grants.grant(grant, units, now_ms, RATE_TIME_CONSTANT_S);
        }
        QuotaVerdict::Queued => {
            customer.grants.enqueue(QuotaRequestRecord {
                gateway,
                number,
                expires_ms: request.waits_until_ms,
            });
        }
        QuotaVerdict::OverQuotaAllowed => customer.consume_ceiling(units),
        QuotaVerdict::Refused => {}
    }
    verdict
}

/// Returns the response to a quota request of a customer for whose record there is no room.
fn refusal_without_record(number: QuotaRequestNumber) -> QuotaResponse {
    let sampling_fraction = SamplingFraction::nearest(AMPLE_SAMPLING_FRACTION);
    QuotaResponse { number, verdict: QuotaVerdict::Refused, sampling_fraction }
}

/// Returns the units that were recently requested and granted for a customer.
fn quota_demand(customer: &Customer, plan: &PlanSettings, now_ms: f64) -> QuotaDemand {
    QuotaDemand {
        requested_per_second: customer.grants.requested_per_second(now_ms, RATE_TIME_CONSTANT_S),
        granted_per_second: customer.grants.granted_per_second(now_ms, RATE_TIME_CONSTANT_S),
        plan_rate_per_second: plan.rate_per_second,
    }
}
