//! How requests are taken in, sent from the queue, and closed.
use crate::action::Action;
use crate::event::Request;
use crate::gateway::Gateway;
use crate::id::{CustomerTag, GatewayIndex, RequestId};
use crate::messages::gossip_message::GossipMessage;
use crate::messages::quota_message::{QuarterUnits, QuotaRelease, QuotaRequestNumber};
use crate::state::{ActiveRequest, FleetMode, QuotaState};

impl Gateway {
    /// Takes a request in: checks it, enters it into the records, and has it admitted, queued or rejected.
    pub(crate) fn on_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if !self.is_valid(&request) {
            actions.push(Action::Fail { request: id });
            return;
        }
        self.enter(request);
        match self.coordination.fleet_mode() {
            FleetMode::Broadcast => self.admit_in_broadcast_mode(id, actions),
            FleetMode::LargeFleet => self.admit_in_large_fleet(id, actions),
        }
    }

    /// Whether a request names a class and a plan of the settings, and is not in work already.
    fn is_valid(&self, request: &Request) -> bool {
        request.class.0 < self.settings.classes.len()
            && request.plan.0 < self.settings.plans.len()
            && !self.requests.contains(request.id)
    }

    /// Enters a request into the records.
    fn enter(&mut self, request: Request) {
        let tag = self.customer_tag(request.customer);
        let objective_ms = self.settings.class(request.class).latency_objective_ms;
        let objective_ms = objective_ms - self.already_waited_ms(request.class, request.time_left_ms);
        let active = ActiveRequest::new(request, tag, self.clock.now_ms(), objective_ms);
        self.requests.insert(active);
    }

    /// Gives the final answer: a rejection where trying again is harmless, else a failure.
    pub(crate) fn finish(&mut self, id: RequestId, retry_after_ms: Option<f64>, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get(id).filter(|active| !active.is_closed()) else { return };
        let idempotency = self.settings.class(active.request.class).idempotency;
        actions.push(if !active.may_have_run() || idempotency.allows_new_try() {
            Action::Reject { request: id, retry_after_ms }
        } else {
            Action::Fail { request: id }
        });
        self.close(id, actions);
    }

    /// The request is answered, or its client has gone: cancels the attempts in flight, once, and forgets the
    /// request when all its attempts have ended.
    pub(crate) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get_mut(id) else { return };
        let pending: Vec<u32> = active.pending_attempts().map(|(number, _)| number).collect();
        let is_first_time = active.close();
        let tag = active.tag;
        if self.settings.cancel_allowed && is_first_time {
            actions.extend(pending.iter().map(|number| Action::Cancel { request: id, attempt: *number }));
        }
        self.queue.remove(tag, id);
        if pending.is_empty() {
            if let Some(active) = self.requests.remove(id) {
                self.report_request_end(&active, actions);
            }
        }
    }

    /// Tells whoever holds the quota what an ended request took, where that matters to its count.
    fn report_request_end(&mut self, active: &ActiveRequest, actions: &mut Vec<Action>) {
        let unsent = active.is_unsent();
        let unused = -active.request.units;
        match active.quota() {
            QuotaState::AdmittedByCounter { .. } => self.settle_counted(active, actions),
            QuotaState::GrantedByOwner { owner, number, .. } if unsent => {
                self.send_release(owner, active.tag, number, unused, actions)
            }
            QuotaState::GrantedByOwner { owner, number, ample } => {
                let holds_slot = self.settings.plan(active.request.plan).open_limit > 0;
                if holds_slot || active.settled_units() != 0.0 && !ample {
                    self.send_release(owner, active.tag, number, active.settled_units(), actions);
                }
            }
            QuotaState::QueuedAtOwner { owner, number } | QuotaState::AwaitingOwner { owner, number, .. } => {
                if let Some(gossip) = self.coordination.gossip_mut() {
                    gossip.requests.remove(number);
                }
                self.send_release(owner, active.tag, number, unused, actions);
            }
            QuotaState::LocalBucket { .. }
            | QuotaState::OverQuota { .. }
            | QuotaState::AwaitingCounter
            | QuotaState::AdmittedUncounted => {}
        }
    }

    /// Tells a quota's owner that a request it was asked about has ended, and how many units to take beyond
    /// those granted; below 0 it gives them back.
    fn send_release(
        &mut self,
        owner: GatewayIndex,
        tag: CustomerTag,
        number: QuotaRequestNumber,
        units: f64,
        actions: &mut Vec<Action>,
    ) {
        let additional_units = QuarterUnits::nearest(units);
        let release = QuotaRelease { customer: tag.0, number, additional_units };
        self.send_gossip(owner, GossipMessage::release(release), actions);
    }
}
