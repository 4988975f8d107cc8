//! How a request and its attempts are entered into and taken out of the records.
use crate::action::Action;
use crate::event::{AttemptEnd, Outcome};
use crate::gateway::Gateway;
use crate::id::{EndpointId, RequestId};
use crate::messages::gossip::{GossipMessage, QuotaRelease};
use crate::policy::coordination::REPORT_ROUNDS;
use crate::policy::dispatch::ATTEMPT_TIMEOUT_OBJECTIVES;
use crate::policy::in_flight_band::MAX_CREDIT_OVERDRAFT;
use crate::policy::retry::{MAX_RETRY_TOKENS, RETRY_TOKENS_PER_REQUEST};
use crate::policy::slow_start::SEND_RATE_SPAN_S;
use crate::state::endpoint::InFlightAttempt;
use crate::state::request::{ActiveRequest, Attempt, QuotaState};

impl Gateway {
    pub(crate) fn send(&mut self, id: RequestId, endpoint_id: EndpointId, actions: &mut Vec<Action>) {
        let budget = self.endpoints.get(endpoint_id).and_then(|e| self.warm_up_budget(e));
        let (Some(active), Some(endpoint)) =
            (self.requests.active.get_mut(&id), self.endpoints.get_mut(endpoint_id))
        else {
            return;
        };
        let wait =
            ATTEMPT_TIMEOUT_OBJECTIVES * self.settings.classes[active.request.class].latency_objective_ms;
        let first = active.attempts.is_empty();
        self.band.dispatch_credit = (self.band.dispatch_credit - 1.0).max(-MAX_CREDIT_OVERDRAFT);
        if let Some(budget) = budget {
            endpoint.take_warm_up_token(self.clock.now_ms, budget);
        }
        let attempt = active.attempts.len() as u32;
        let in_flight = InFlightAttempt { sent_ms: self.clock.now_ms, request: id, attempt };
        endpoint.record_sent(in_flight, SEND_RATE_SPAN_S);
        active.attempts.push(Attempt {
            endpoint: endpoint_id,
            zone: endpoint.zone(),
            cell: endpoint.cell(),
            sent_ms: self.clock.now_ms,
            pending: true,
            may_have_run: false,
        });
        let plan = &self.settings.plans[active.request.plan];
        let own = matches!(active.quota, QuotaState::LocalBucket | QuotaState::AdmittedByCounter { .. });
        if first {
            self.retries.tokens = (self.retries.tokens + RETRY_TOKENS_PER_REQUEST).min(MAX_RETRY_TOKENS);
        }
        if let Some(customer) = self.customers.by_tag.get_mut(&active.tag).filter(|_| own) {
            customer.in_flight += 1;
            if first {
                customer.ceiling_tokens -= active.request.units;
                if active.within_quota
                    && plan.rate_per_second > 0.0
                    && active.quota == QuotaState::LocalBucket
                {
                    customer.tokens -= active.request.units;
                    customer.consumed += active.request.units;
                }
            }
            if plan.open_limit > 0 || (first && active.within_quota) {
                customer.pending_rounds = REPORT_ROUNDS;
                self.customers.unreported.insert(active.tag);
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
        let waits = active.attempts.iter().any(|a| a.pending);
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
        if let Some(customer) = self.customers.by_tag.get_mut(&active.tag) {
            customer.in_flight = customer.in_flight.saturating_sub(1);
            if !own {
                return Some((class, plan));
            }
            customer.tokens -= settled;
            customer.consumed += settled;
            if settled != 0.0 || settings.open_limit > 0 {
                customer.pending_rounds = REPORT_ROUNDS;
                self.customers.unreported.insert(active.tag);
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
        let pending = (0u32..).zip(&active.attempts).filter(|(_, a)| a.pending);
        let pending: Vec<u32> = pending.map(|(n, _)| n).collect();
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

    /// Tells the keeper what a granted request took in the end, where that matters to its count.
    pub(crate) fn report_request_end(&mut self, active: &ActiveRequest, actions: &mut Vec<Action>) {
        if active.quota == (QuotaState::AdmittedByCounter { asked: true }) {
            return self.settle_counted(active, actions);
        }
        let plan = &self.settings.plans[active.request.plan];
        let (keeper, number, owed) = match active.quota {
            QuotaState::GrantedByOwner { keeper, number } if active.attempts.is_empty() => {
                (keeper, number, -active.request.units)
            }
            QuotaState::GrantedByOwner { keeper, number }
                if plan.open_limit > 0 || active.settled_units != 0.0 && !active.ample =>
            {
                (keeper, number, active.settled_units)
            }
            QuotaState::QueuedAtOwner { keeper, number }
            | QuotaState::AwaitingOwner { keeper, number, .. } => {
                self.quota_owner.pending.remove(&number);
                (keeper, number, -active.request.units)
            }
            _ => return,
        };
        let end = QuotaRelease { customer: active.tag, number, quarters: (owed * 4.0).round() as i32 };
        self.send_gossip(keeper, GossipMessage { releases: vec![end], ..GossipMessage::default() }, actions);
    }
}
