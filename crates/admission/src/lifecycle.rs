//! How a request and its attempts are entered into and taken out of the records.
use crate::action::Action;
use crate::event::{AttemptEnd, Outcome, Request};
use crate::gateway::Gateway;
use crate::id::{EndpointId, RequestId};
use crate::mechanism::virtual_finish_queue::FlowHead;
use crate::messages::gossip::GossipMessage;
use crate::messages::quota::{QuarterUnits, QuotaRelease};
use crate::policy::coordination::REPORT_ROUNDS;
use crate::policy::dispatch::ATTEMPT_TIMEOUT_OBJECTIVES;
use crate::policy::in_flight_band::MAX_CREDIT_OVERDRAFT;
use crate::policy::retry::{MAX_RETRY_TOKENS, RETRY_TOKENS_PER_REQUEST};
use crate::state::attempt::AttemptRef;
use crate::state::customer::customer_tag;
use crate::state::endpoint::InFlightAttempt;
use crate::state::quota_state::QuotaState;
use crate::state::request::ActiveRequest;

/// Shortest time-out of an attempt: the host needs one above 0.
const MIN_TIMEOUT_MS: f64 = 1.0;

impl Gateway {
    /// Takes a request in: checks it, enters it into the records, and has it admitted, queued or rejected.
    pub(crate) fn on_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if !self.is_valid(&request) {
            actions.push(Action::Fail { request: id });
            return;
        }
        self.enter(request);
        if self.coordination.is_broadcast() {
            self.admit_in_small_fleet(id, actions);
        } else {
            self.admit_in_large_fleet(id, actions);
        }
    }

    /// Whether a request names a class and a plan of the settings, and is not in work already.
    fn is_valid(&self, request: &Request) -> bool {
        request.class < self.settings.classes.len()
            && request.plan < self.settings.plans.len()
            && !self.requests.contains(request.id)
    }

    /// Enters a request into the records.
    fn enter(&mut self, request: Request) {
        let tag = if self.coordination.is_broadcast() {
            u64::from(customer_tag(request.customer))
        } else {
            request.customer.0
        };
        let objective_ms = self.settings.classes[request.class].latency_objective_ms;
        let objective_ms = objective_ms - self.already_waited_ms(request.class, request.time_left_ms);
        let active = ActiveRequest::new(request, tag, self.clock.now_ms(), objective_ms);
        self.requests.insert(active);
    }

    /// Sends queued requests for as long as the policy names one and an endpoint is found for it.
    pub(crate) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        self.band.unblock();
        while let Some(head) = self.next_to_dispatch(actions) {
            let Some(endpoint) = self.select_endpoint(head.id) else {
                self.band.block_for_endpoint();
                return;
            };
            self.queue.release(head);
            self.send(head.id, endpoint, actions);
        }
    }

    /// Takes a request over its quota out of the queue, and sends or finishes it.
    pub(crate) fn dispatch_over_quota(&mut self, head: FlowHead, actions: &mut Vec<Action>) {
        self.queue.remove(head.tag, head.id);
        let may_send = self.may_send_over_quota(head.id);
        match if may_send { self.select_endpoint(head.id) } else { None } {
            Some(endpoint) => self.send(head.id, endpoint, actions),
            None => self.finish(head.id, self.over_quota_retry_after(), actions),
        }
    }

    /// Finishes requests that run out of time.
    pub(crate) fn finish_overdue_requests(&mut self, actions: &mut Vec<Action>) {
        let overdue = self.requests.iter().filter(|active| self.is_overdue(active));
        let overdue: Vec<RequestId> = overdue.map(|active| active.request.id).collect();
        for id in overdue {
            let unsent = self.requests.get(id).is_some_and(ActiveRequest::is_unsent);
            self.finish(id, if unsent { self.overload_retry_after() } else { None }, actions);
        }
    }

    /// Starts a request's next attempt, at this endpoint, and enters it in all records.
    pub(crate) fn send(&mut self, id: RequestId, endpoint_id: EndpointId, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get(id) else { return };
        if self.endpoints.get(endpoint_id).is_none() {
            return;
        }
        let objective_ms = self.settings.classes[active.request.class].latency_objective_ms;
        let time_left_ms = active.deadline_ms - self.clock.now_ms();
        let timeout_ms = (ATTEMPT_TIMEOUT_OBJECTIVES * objective_ms).min(time_left_ms).max(MIN_TIMEOUT_MS);
        let is_first = active.is_unsent();
        self.band.spend_dispatch_credit(MAX_CREDIT_OVERDRAFT);
        if is_first {
            self.retries.earn(RETRY_TOKENS_PER_REQUEST, MAX_RETRY_TOKENS);
        }
        self.enter_attempt(id, endpoint_id);
        self.count_attempt(id, is_first);
        actions.push(Action::Send { request: id, endpoint: endpoint_id, timeout_ms });
    }

    /// Enters a new attempt in the records of its request and its endpoint.
    fn enter_attempt(&mut self, id: RequestId, endpoint_id: EndpointId) {
        let now = self.clock.now_ms();
        let warm_up_budget = self.endpoints.get(endpoint_id).and_then(|e| self.warm_up_budget(e));
        let Some(active) = self.requests.get_mut(id) else { return };
        let Some(endpoint) = self.endpoints.get_mut(endpoint_id) else { return };
        if let Some(budget) = warm_up_budget {
            endpoint.warm_up_tokens.take(now, budget);
        }
        let AttemptRef { request, attempt } = active.start_attempt(endpoint, now);
        endpoint.record_sent(InFlightAttempt { sent_ms: now, request, attempt });
    }

    /// Counts a new attempt to its customer, where the quota is not held by another gateway: its slot, and
    /// with the first attempt the request's units.
    fn count_attempt(&mut self, id: RequestId, is_first: bool) {
        let Some(active) = self.requests.get(id).filter(|a| a.quota.holds_slot_here()) else {
            return;
        };
        let Some(customer) = self.customers.get_mut(active.tag) else { return };
        let plan = &self.settings.plans[active.request.plan];
        let own_bucket = active.quota == QuotaState::LocalBucket;
        customer.start_attempt();
        if is_first {
            customer.consume_ceiling(active.request.units);
        }
        if is_first && active.within_quota && plan.rate_per_second > 0.0 && own_bucket {
            customer.consume_quota(active.request.units);
        }
        if plan.open_limit > 0 || (is_first && active.within_quota) {
            self.customers.schedule_report(active.tag, REPORT_ROUNDS);
        }
    }

    /// Takes in how an attempt ended: closes the request, tries again, or gives the final answer.
    pub(crate) fn on_attempt_end(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get_mut(end.request) else { return };
        if !active.end_attempt(end.attempt, end.outcome) {
            return;
        }
        let (class, plan) = (active.request.class, active.request.plan);
        self.settle_attempt(end);
        self.record_attempt_end(end, class, plan);
        let Some(active) = self.requests.get(end.request) else { return };
        if end.closed || end.outcome == Outcome::Ok || active.is_closed() {
            self.close(end.request, actions);
        } else if !active.has_pending()
            && (end.outcome == Outcome::TooLate || !self.retry(end.request, actions))
        {
            self.finish(end.request, None, actions);
        }
    }

    /// Settles an ended attempt with its customer: frees its slot, and takes the units by which the true
    /// figure passed the estimate.
    fn settle_attempt(&mut self, end: &AttemptEnd) {
        let Some(active) = self.requests.get_mut(end.request) else { return };
        let plan = &self.settings.plans[active.request.plan];
        let has_quota = active.within_quota && plan.rate_per_second > 0.0;
        // No request can count more than `max_units`: such a figure is corrupt.
        let true_units = end.true_units.filter(|units| has_quota && *units <= self.settings.max_units);
        let excess = true_units.map_or(0.0, |units| units - active.request.units);
        let own_bucket = active.quota == QuotaState::LocalBucket;
        if !own_bucket {
            active.settled_units += excess;
        }
        if !active.quota.holds_slot_here() {
            return;
        }
        let Some(customer) = self.customers.get_mut(active.tag) else { return };
        customer.end_attempt();
        if own_bucket {
            customer.consume_quota(excess);
        }
        if own_bucket && (excess != 0.0 || plan.open_limit > 0) {
            self.customers.schedule_report(active.tag, REPORT_ROUNDS);
        }
    }

    /// Gives the final answer: a rejection where trying again is harmless, else a failure.
    pub(crate) fn finish(&mut self, id: RequestId, retry_after_ms: Option<f64>, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get(id).filter(|active| !active.is_closed()) else { return };
        let idempotency = self.settings.classes[active.request.class].idempotency;
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
        match active.quota {
            QuotaState::AdmittedByCounter { asked: true } => self.settle_counted(active, actions),
            QuotaState::GrantedByOwner { owner, number } if unsent => {
                self.send_release(owner, active.tag, number, unused, actions)
            }
            QuotaState::GrantedByOwner { owner, number } => {
                let holds_slot = self.settings.plans[active.request.plan].open_limit > 0;
                if holds_slot || active.settled_units != 0.0 && !active.ample {
                    self.send_release(owner, active.tag, number, active.settled_units, actions);
                }
            }
            QuotaState::QueuedAtOwner { owner, number } | QuotaState::AwaitingOwner { owner, number, .. } => {
                if let Some(gossip) = self.coordination.gossip_mut() {
                    gossip.requests.remove(number);
                }
                self.send_release(owner, active.tag, number, unused, actions);
            }
            QuotaState::LocalBucket
            | QuotaState::OverQuota { .. }
            | QuotaState::AwaitingCounter
            | QuotaState::AdmittedByCounter { asked: false } => {}
        }
    }

    /// Tells a quota's owner that a request it was asked about has ended, and how many units to take beyond
    /// those granted; below 0 it gives them back.
    fn send_release(
        &mut self,
        owner: usize,
        customer: u64,
        number: u32,
        units: f64,
        actions: &mut Vec<Action>,
    ) {
        let additional_units = QuarterUnits::nearest(units);
        let release = QuotaRelease { customer, number, additional_units };
        self.send_gossip(owner, GossipMessage::release(release), actions);
    }
}
