//! Receives, finishes and closes requests.
use crate::action::Action;
use crate::event::Request;
use crate::gateway::Gateway;
use crate::id::{CustomerKey, GatewayIndex, RequestId};
use crate::messages::gossip_message::GossipMessage;
use crate::messages::quota_message::{QuarterUnits, QuotaRelease, QuotaRequestNumber};
use crate::policy::request_end::final_response::{final_response, FinalResponse};
use crate::policy::request_end::quota_settlement::{settlement_at_end, EndedRequest, QuotaSettlement};
use crate::state::{ActiveRequest, FleetMode};

impl Gateway {
    /// Receives a request: checks it, adds it to the records, and has it sent, queued or rejected.
    pub(crate) fn on_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if !self.is_valid(&request) {
            actions.push(Action::Fail { request: id });
            return;
        }
        self.insert_request(request);
        match self.coordination.fleet_mode() {
            FleetMode::Broadcast => self.admit_in_broadcast_mode(id, actions),
            FleetMode::LargeFleet => self.admit_in_large_fleet(id, actions),
        }
    }

    /// Returns whether a request names a class and a plan of the settings and its id is not that of an active
    /// request. Without this check an index beyond the settings would end the process, and a second request
    /// of the same id would replace the record of the first, whose client would get no response.
    fn is_valid(&self, request: &Request) -> bool {
        request.class.0 < self.settings.classes.len()
            && request.plan.0 < self.settings.plans.len()
            && !self.requests.contains(request.id)
    }

    /// Adds a request to the records.
    fn insert_request(&mut self, request: Request) {
        let key = self.customer_key(request.customer);
        let objective_ms = self.settings.class(request.class).latency_objective_ms;
        let objective_ms = objective_ms - self.already_waited_ms(request.class, request.time_left_ms);
        let active = ActiveRequest::new(request, key, self.clock.now_ms(), objective_ms);
        self.requests.insert(active);
    }

    /// Ends a request that gets no good response: rejects it if a retry by its client does no harm, and fails
    /// it otherwise. Does nothing if the request is already closed.
    pub(crate) fn finish(&mut self, id: RequestId, retry_after_ms: Option<f64>, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get(id).filter(|active| !active.is_closed()) else { return };
        let idempotency = self.settings.class(active.request.class).idempotency;
        actions.push(match final_response(active.may_have_run(), idempotency) {
            FinalResponse::Reject => Action::Reject { request: id, retry_after_ms },
            FinalResponse::Fail => Action::Fail { request: id },
        });
        self.close(id, actions);
    }

    /// Closes a request that has its final response or whose client has disconnected. Takes the request out
    /// of the queue. The first time, cancels its attempts in flight if the settings allow that. If no attempt
    /// is in flight, also removes the request's record and settles its quota; otherwise this is called again
    /// when an attempt ends.
    pub(crate) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get_mut(id) else { return };
        let in_flight: Vec<u32> = active.attempts_in_flight().map(|(number, _)| number).collect();
        let is_first_time = active.close();
        let key = active.customer_key;
        if self.settings.cancel_allowed && is_first_time {
            actions.extend(in_flight.iter().map(|number| Action::Cancel { request: id, attempt: *number }));
        }
        self.queue.remove(key, id);
        if in_flight.is_empty() {
            if let Some(active) = self.requests.remove(id) {
                self.settle_quota(&active, actions);
            }
        }
    }

    /// Settles the quota of an ended request with the owner or the counter that counts it.
    fn settle_quota(&mut self, active: &ActiveRequest, actions: &mut Vec<Action>) {
        let ended = EndedRequest {
            quota: active.quota_state(),
            is_unsent: active.is_unsent(),
            units: active.request.units,
            excess_units: active.excess_units(),
            has_concurrency_limit: self.settings.plan(active.request.plan).concurrency_limit > 0,
        };
        match settlement_at_end(&ended) {
            QuotaSettlement::Nothing => {}
            QuotaSettlement::SettleWithCounter => self.settle_with_counter(active, actions),
            QuotaSettlement::Release { owner, number, additional_units } => {
                self.send_release(owner, active.customer_key, number, additional_units, actions);
            }
            QuotaSettlement::Withdraw { owner, number, additional_units } => {
                if let Some(gossip) = self.coordination.gossip_mut() {
                    gossip.pending_requests.remove(number);
                }
                self.send_release(owner, active.customer_key, number, additional_units, actions);
            }
        }
    }

    /// Tells the owner of a quota that the request of quota request `number` has ended. The owner counts
    /// `additional_units` beyond those granted; a negative number gives units back.
    fn send_release(
        &mut self,
        owner: GatewayIndex,
        key: CustomerKey,
        number: QuotaRequestNumber,
        additional_units: f64,
        actions: &mut Vec<Action>,
    ) {
        let additional_units = QuarterUnits::nearest(additional_units);
        let release = QuotaRelease { customer: key.0, number, additional_units };
        self.send_gossip(owner, GossipMessage::release(release), actions);
    }
}
