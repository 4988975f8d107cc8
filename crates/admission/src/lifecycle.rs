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
use crate::policy::endpoint_selection::SEND_RATE_SPAN_S;
use crate::policy::in_flight_band::MAX_CREDIT_OVERDRAFT;
use crate::policy::retry::{MAX_RETRY_TOKENS, RETRY_TOKENS_PER_REQUEST};
use crate::state::customer::customer_tag;
use crate::state::request::{ActiveRequest, Attempt, QuotaState};

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
            && !self.requests.active.contains_key(&request.id)
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
        let active = ActiveRequest::new(request, tag, self.clock.now_ms, objective_ms);
        self.requests.active.insert(active.request.id, active);
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
        let overdue: Vec<RequestId> = self
            .requests
            .active
            .iter()
            .filter(|(_, active)| self.is_overdue(active))
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            let unsent = self.requests.active.get(&id).is_some_and(|active| active.attempts.is_empty());
            self.finish(id, if unsent { self.overload_retry_after() } else { None }, actions);
        }
    }

    pub(crate) fn send(&mut self, id: RequestId, endpoint_id: EndpointId, actions: &mut Vec<Action>) {
        let cold = self.endpoints.by_id.get(&endpoint_id).and_then(|s| self.warm_up_budget(s));
        let (Some(active), Some(endpoint)) =
            (self.requests.active.get_mut(&id), self.endpoints.by_id.get_mut(&endpoint_id))
        else {
            return;
        };
        let wait =
            ATTEMPT_TIMEOUT_OBJECTIVES * self.settings.classes[active.request.class].latency_objective_ms;
        let first = active.attempts.is_empty();
        self.band.spend_dispatch_credit(MAX_CREDIT_OVERDRAFT);
        if let Some(budget) = cold {
            endpoint.warm_up_tokens = endpoint.warm_up_tokens_now(self.clock.now_ms, budget) - 1.0;
            endpoint.warm_up_tokens_ms = self.clock.now_ms;
        }
        endpoint.send_rate = endpoint.send_rate_now(self.clock.now_ms) + 1.0 / SEND_RATE_SPAN_S;
        endpoint.send_rate_ms = self.clock.now_ms;
        endpoint.in_flight.push((self.clock.now_ms, id, active.attempts.len() as u32));
        active.attempts.push(Attempt {
            endpoint: endpoint_id,
            zone: endpoint.zone,
            cell: endpoint.cell,
            sent_ms: self.clock.now_ms,
            pending: true,
            may_have_run: false,
        });
        let plan = &self.settings.plans[active.request.plan];
        let own = matches!(active.quota, QuotaState::LocalBucket | QuotaState::AdmittedByCounter { .. });
        if first {
            self.retries.earn(RETRY_TOKENS_PER_REQUEST, MAX_RETRY_TOKENS);
        }
        if let Some(customer) = self.customers.get_mut(active.tag).filter(|_| own) {
            customer.start_attempt();
            if first {
                customer.consume_ceiling(active.request.units);
                if active.within_quota
                    && plan.rate_per_second > 0.0
                    && active.quota == QuotaState::LocalBucket
                {
                    customer.consume_quota(active.request.units);
                }
            }
            if plan.open_limit > 0 || (first && active.within_quota) {
                self.customers.schedule_report(active.tag, REPORT_ROUNDS);
            }
        }
        let timeout_ms = wait.min(active.deadline_ms - self.clock.now_ms).max(1.0);
        actions.push(Action::Send { request: id, endpoint: endpoint_id, timeout_ms });
    }

    /// Takes in how an attempt ended: closes the request, tries again, or gives the final answer.
    pub(crate) fn on_attempt_end(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let (id, outcome) = (end.request, end.outcome);
        let Some((class, plan)) = self.settle_attempt(end) else { return };
        self.record_attempt_end(end, class, plan);
        let Some(active) = self.requests.active.get_mut(&id) else { return };
        let waits = active.has_pending();
        if end.closed || outcome == Outcome::Ok || active.answered {
            self.close(id, actions);
        } else if !waits && (outcome == Outcome::TooLate || !self.retry(id, actions)) {
            self.finish(id, None, actions);
        }
    }

    /// Enters an attempt's end: its true units, its active slot, and whether it may have run. Gives the
    /// request's class and plan; `None` where no such attempt is out.
    pub(crate) fn settle_attempt(&mut self, end: &AttemptEnd) -> Option<(usize, usize)> {
        let active = self.requests.active.get_mut(&end.request)?;
        let attempt = active.attempts.get_mut(end.attempt as usize).filter(|a| a.pending)?;
        attempt.pending = false;
        attempt.may_have_run =
            !matches!(end.outcome, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::TooLate);
        let (class, plan) = (active.request.class, active.request.plan);
        let settings = &self.settings.plans[plan];
        let counted = active.within_quota && settings.rate_per_second > 0.0;
        // A figure that no request can count is a spoilt one.
        let told = end.true_units.filter(|t| counted && *t <= self.settings.max_units);
        let settled = told.map_or(0.0, |t| t - active.request.units);
        let own = active.quota == QuotaState::LocalBucket;
        if !own {
            active.settled_units += settled;
        }
        if !own && !matches!(active.quota, QuotaState::AdmittedByCounter { .. }) {
            return Some((class, plan));
        }
        if let Some(customer) = self.customers.get_mut(active.tag) {
            customer.end_attempt();
            if !own {
                return Some((class, plan));
            }
            customer.consume_quota(settled);
            if settled != 0.0 || settings.open_limit > 0 {
                self.customers.schedule_report(active.tag, REPORT_ROUNDS);
            }
        }
        Some((class, plan))
    }

    /// Gives the final answer: a rejection, or a failure where the request may have run.
    pub(crate) fn finish(&mut self, id: RequestId, retry_after_ms: Option<f64>, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.active.get(&id).filter(|o| !o.answered) else { return };
        actions.push(if self.may_reject(active) {
            Action::Reject { request: id, retry_after_ms }
        } else {
            Action::Fail { request: id }
        });
        self.close(id, actions);
    }

    /// The request is answered or its client gone: calls off once what is still out, and forgets it when
    /// all its attempts have ended.
    pub(crate) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.active.get_mut(&id) else { return };
        let pending: Vec<u32> = active.pending_attempts().map(|(number, _)| number).collect();
        if self.settings.cancel_allowed && !active.closed {
            actions.extend(pending.iter().map(|n| Action::Cancel { request: id, attempt: *n }));
        }
        (active.answered, active.closed) = (true, true);
        let tag = active.tag;
        self.queue.remove(tag, id);
        if pending.is_empty() {
            if let Some(active) = self.requests.active.remove(&id) {
                self.report_request_end(&active, actions);
            }
        }
    }

    /// Tells the owner what a granted request took in the end, where that matters to its count.
    pub(crate) fn report_request_end(&mut self, active: &ActiveRequest, actions: &mut Vec<Action>) {
        if active.quota == (QuotaState::AdmittedByCounter { asked: true }) {
            return self.settle_counted(active, actions);
        }
        let plan = &self.settings.plans[active.request.plan];
        let (owner, number, owed) = match active.quota {
            QuotaState::GrantedByOwner { owner, number } if active.attempts.is_empty() => {
                (owner, number, -active.request.units)
            }
            QuotaState::GrantedByOwner { owner, number }
                if plan.open_limit > 0 || active.settled_units != 0.0 && !active.ample =>
            {
                (owner, number, active.settled_units)
            }
            QuotaState::QueuedAtOwner { owner, number } | QuotaState::AwaitingOwner { owner, number, .. } => {
                if let Some(gossip) = self.coordination.gossip_mut() {
                    gossip.requests.remove(number);
                }
                (owner, number, -active.request.units)
            }
            _ => return,
        };
        let additional_units = QuarterUnits::nearest(owed);
        let release = QuotaRelease { customer: active.tag, number, additional_units };
        self.send_gossip(owner, GossipMessage::release(release), actions);
    }
}
