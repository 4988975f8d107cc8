//! Sends attempts and handles their ends.
use crate::action::Action;
use crate::event::AttemptEnd;
use crate::gateway::Gateway;
use crate::id::{EndpointId, RequestId};
use crate::lifecycle::warm_up::available_warm_up_tokens;
use crate::policy::customer_usage::{
    usage_at_attempt_end, usage_at_attempt_start, AttemptEndInput, AttemptStartInput, ExcessCharge,
};
use crate::policy::retry::{
    after_attempt, attempt_timeout_ms, earned_retry_tokens, may_have_run, AfterAttempt, AfterAttemptInput,
    MAX_RETRY_TOKENS,
};
use crate::policy::slow_start::{
    tokens_after_attempt_in_broadcast_mode, tokens_after_attempt_in_large_fleet,
};
use crate::state::{FleetMode, InFlightAttempt};

impl Gateway {
    /// Starts a request's next attempt at an endpoint and adds it to all records.
    pub(crate) fn send(&mut self, id: RequestId, endpoint_id: EndpointId, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get(id) else { return };
        if self.endpoints.get(endpoint_id).is_none() {
            return;
        }
        let objective_ms = self.settings.class(active.request.class).latency_objective_ms;
        let time_left_ms = active.deadline_at_ms - self.clock.now_ms();
        let timeout_ms = attempt_timeout_ms(objective_ms, time_left_ms);
        let earned_tokens = earned_retry_tokens(active.attempt_count());
        self.spend_dispatch_credit();
        self.retry_budget.earn(earned_tokens, MAX_RETRY_TOKENS);
        self.record_attempt(id, endpoint_id);
        self.count_attempt(id);
        actions.push(Action::Send { request: id, endpoint: endpoint_id, timeout_ms });
    }

    /// Adds a new attempt to the records of its request and its endpoint.
    fn record_attempt(&mut self, id: RequestId, endpoint_id: EndpointId) {
        let now_ms = self.clock.now_ms();
        let mode = self.coordination.fleet_mode();
        let warm_up_budget = self.endpoints.get(endpoint_id).and_then(|e| self.warm_up_budget(e));
        let Some(active) = self.requests.get_mut(id) else { return };
        let Some(endpoint) = self.endpoints.get_mut(endpoint_id) else { return };
        if let Some(budget) = warm_up_budget {
            let available = available_warm_up_tokens(endpoint, budget, now_ms);
            let left = match mode {
                FleetMode::Broadcast => tokens_after_attempt_in_broadcast_mode(available),
                FleetMode::LargeFleet => tokens_after_attempt_in_large_fleet(available),
            };
            endpoint.warm_up_tokens.update(left, now_ms);
        }
        let attempt_id = active.start_attempt(endpoint, now_ms);
        endpoint.record_sent(InFlightAttempt { sent_ms: now_ms, attempt_id });
    }

    /// Counts a new attempt towards its customer's limits at this gateway. Attempts of a request that the
    /// quota's owner granted are not counted here, because the owner, which may be this gateway, counts the
    /// request. Nor are those of a request that is `QuotaState::OverQuota`.
    fn count_attempt(&mut self, id: RequestId) {
        let Some(active) = self.requests.get(id) else { return };
        let key = active.customer_key;
        let Some(customer) = self.customers.get_mut(key) else { return };
        let plan = self.settings.plan(active.request.plan);
        let usage = usage_at_attempt_start(&AttemptStartInput {
            quota: active.quota_state(),
            is_first: active.attempt_count() == 1,
            has_quota: plan.rate_per_second > 0.0,
            has_concurrency_limit: plan.concurrency_limit > 0,
        });
        if usage.takes_slot {
            customer.start_attempt();
        }
        if usage.consumes_ceiling {
            customer.consume_ceiling(active.request.units);
        }
        if usage.consumes_quota {
            customer.consume_quota(active.request.units);
        }
        if usage.triggers_report {
            self.schedule_report(key);
        }
    }

    /// Records how an attempt ended, and then closes its request, waits for its other attempt, retries it, or
    /// gives it its final response.
    pub(crate) fn on_attempt_end(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get_mut(end.request) else { return };
        if !active.end_attempt(end.attempt, may_have_run(end.outcome)) {
            return;
        }
        let (class, plan) = (active.request.class, active.request.plan);
        self.settle_attempt(end);
        self.record_attempt_end(end, class, plan);
        let Some(active) = self.requests.get(end.request) else { return };
        let next = after_attempt(&AfterAttemptInput {
            outcome: end.outcome,
            is_closed: end.request_closed || active.is_closed(),
            has_attempt_in_flight: active.has_attempt_in_flight(),
        });
        match next {
            AfterAttempt::Close => self.close(end.request, actions),
            AfterAttempt::AwaitOtherAttempt => {}
            AfterAttempt::Finish => self.finish(end.request, None, actions),
            AfterAttempt::Retry => {
                if !self.retry(end.request, actions) {
                    self.finish(end.request, None, actions);
                }
            }
        }
    }

    /// Settles an ended attempt with its customer. Frees the slot if the attempt took one here. Charges the
    /// difference of true and estimated units to the local token bucket if that decides on the quota;
    /// otherwise adds the difference to the request, to be settled when the request ends.
    fn settle_attempt(&mut self, end: &AttemptEnd) {
        let Some(active) = self.requests.get_mut(end.request) else { return };
        let plan = self.settings.plan(active.request.plan);
        let usage = usage_at_attempt_end(&AttemptEndInput {
            quota: active.quota_state(),
            has_quota: plan.rate_per_second > 0.0,
            has_concurrency_limit: plan.concurrency_limit > 0,
            estimated_units: active.request.units,
            true_units: end.true_units,
            max_units: self.settings.max_units,
        });
        if let ExcessCharge::Request { excess_units } = usage.charge {
            active.add_excess_units(excess_units);
        }
        let key = active.customer_key;
        let Some(customer) = self.customers.get_mut(key) else { return };
        if usage.frees_slot {
            customer.end_attempt();
        }
        if let ExcessCharge::LocalBucket { excess_units } = usage.charge {
            customer.consume_quota(excess_units);
        }
        if usage.triggers_report {
            self.schedule_report(key);
        }
    }
}
