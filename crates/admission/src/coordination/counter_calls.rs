//! Counter mode: calls to the quota counter, one at a time for each customer, and how its replies are
//! applied.
use crate::action::Action;
use crate::event::CounterOutcome;
use crate::gateway::Gateway;
use crate::id::{CustomerKey, PlanIndex, RequestId};
use crate::policy::quota_counter::count_catch_up::{catch_up_units, is_duplicate_catch_up, COUNT_EPOCH_MS};
use crate::policy::quota_counter::count_decision::{
    assumed_tokens, decide_by_count, decide_over_quota, is_certainly_over_quota,
};
use crate::policy::quota_counter::count_settlement::{
    consumed_units, may_call_immediately, settlement_units,
};
use crate::policy::quota_counter::counter_sampling::{
    refund_units, sample_request, sampling_fraction_after, SampleInput,
};
use crate::state::{
    ActiveRequest, CatchUp, Coordination, CountedRequest, CounterCall, CounterEpoch, GatewaySet, QuotaState,
};

/// A completed call to the counter.
#[derive(Debug, Clone, Copy)]
struct CompletedCall {
    /// The customer whose count was called.
    key: CustomerKey,
    /// The customer's plan.
    plan: PlanIndex,
    /// The call.
    call: CounterCall,
}

impl Gateway {
    /// Begins the quota check of a queued request. If the plan has no quota, only records the request with
    /// its customer: the request's state stays `QuotaState::LocalBucket`. Otherwise decides without a call if
    /// the customer cannot have enough tokens, which follows from the counter's last reply and what the rate
    /// has added since. Calls the counter if the request is sampled, and admits it uncounted if not.
    pub(crate) fn check_quota_at_counter(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get(id) else { return };
        let (key, plan_index) = (active.customer_key, active.request.plan);
        let (units, is_client_retry) = (active.request.units, active.request.is_client_retry);
        let gateways = GatewaySet::of_request(&active.request, self.settings.gateways);
        let now_ms = self.clock.now_ms();
        let (customer, plan) = self.record_customer_request_with_plan(key, plan_index, gateways);
        if plan.rate_per_second <= 0.0 {
            return;
        }
        let tokens_at_most = customer.counter.tokens_at_most(plan, now_ms);
        let quota = if is_certainly_over_quota(tokens_at_most, units) {
            decide_over_quota(plan)
        } else {
            self.call_or_admit(key, id, units, is_client_retry)
        };
        if let Some(active) = self.requests.get_mut(id) {
            active.set_quota_state(quota);
        }
        self.call_counter(key, actions);
    }

    /// Queues a call to the counter if a request is sampled, or else admits the request uncounted.
    fn call_or_admit(
        &mut self,
        key: CustomerKey,
        id: RequestId,
        units: f64,
        is_client_retry: bool,
    ) -> QuotaState {
        let Some(counted) = self.sample_for_counter(id, units, is_client_retry) else {
            return QuotaState::AdmittedUncounted;
        };
        if let Some(customer) = self.customers.get_mut(key) {
            customer.counter.push(CounterCall::Request(counted));
        }
        QuotaState::AwaitingCounter
    }

    /// Decides whether a request is sampled. Returns it with the units to add, or `None` if it isn't sampled.
    fn sample_for_counter(
        &mut self,
        id: RequestId,
        units: f64,
        is_client_retry: bool,
    ) -> Option<CountedRequest> {
        let sampling_fraction = self.counter_sampling_fraction();
        let draw = self.random.next_fraction();
        let added_units = sample_request(SampleInput { sampling_fraction, is_client_retry, draw, units })?;
        Some(CountedRequest { id, units, added_units })
    }

    /// Returns the units to give back for a request whose units were counted but not used; 0 if the refund is
    /// not sampled. A refund that is sampled represents others that are not, and then gives back more than
    /// `units`.
    pub(crate) fn refund_units(&mut self, units: f64) -> f64 {
        let sampling_fraction = self.counter_sampling_fraction();
        refund_units(units, sampling_fraction, self.random.next_fraction())
    }

    /// Returns the fraction of requests that the counter is called for.
    fn counter_sampling_fraction(&self) -> f64 {
        match &self.coordination {
            Coordination::Counter(calls) => calls.sampling_fraction(),
            _ => 1.0,
        }
    }

    /// Makes a customer's next call, unless one is in flight.
    fn call_counter(&mut self, key: CustomerKey, actions: &mut Vec<Action>) {
        let name = CounterEpoch::at(key, self.clock.now_ms(), COUNT_EPOCH_MS).name;
        let Some(customer) = self.customers.get_mut(key) else { return };
        let Coordination::Counter(calls) = &mut self.coordination else { return };
        let requests = &self.requests;
        let waits_for_reply = |id| requests.get(id).is_some_and(ActiveRequest::awaits_counter);
        let Some(amount) = customer.counter.next_call(waits_for_reply) else { return };
        calls.start(name, key);
        actions.push(Action::AddToCounter { name, amount, ttl_ms: COUNT_EPOCH_MS });
    }

    /// Applies the counter's reply to a customer's call, and makes the next call.
    pub(crate) fn on_counter_reply(&mut self, name: u64, outcome: CounterOutcome, actions: &mut Vec<Action>) {
        let Some(CompletedCall { key, plan, call }) = self.complete_counter_call(name, outcome) else {
            return;
        };
        let epoch = CounterEpoch::at(key, self.clock.now_ms(), COUNT_EPOCH_MS);
        let is_rejected = outcome == CounterOutcome::Rejected;
        match (call, total_of_epoch(outcome, name, epoch)) {
            (CounterCall::Request(request), Some(total)) => {
                self.on_request_total(key, plan, request, total, epoch);
            }
            (CounterCall::Request(request), None) => self.on_missing_total(key, plan, request, is_rejected),
            (CounterCall::CatchUp(catch_up), Some(total)) => self.on_catch_up_total(key, catch_up, total),
            (CounterCall::Settle, Some(total)) => self.on_settlement_total(key, plan, total, epoch),
            (CounterCall::CatchUp(_) | CounterCall::Settle, None) => {}
        }
        let has_queued_calls = self.customers.get(key).is_some_and(|c| c.counter.has_queued());
        if may_call_immediately(is_rejected, has_queued_calls) {
            self.call_counter(key, actions);
        }
    }

    /// Completes the call in flight to the count `name`, and adapts the sampling fraction. Corrections that a
    /// rejected call carried become due again. Returns `None` if no such call is in flight.
    fn complete_counter_call(&mut self, name: u64, outcome: CounterOutcome) -> Option<CompletedCall> {
        let Coordination::Counter(calls) = &mut self.coordination else { return None };
        let key = calls.complete(name)?;
        calls.set_sampling_fraction(sampling_fraction_after(outcome, calls.sampling_fraction()));
        let customer = self.customers.get_mut(key)?;
        let ended = customer.counter.complete()?;
        let plan = customer.plan()?;
        if outcome == CounterOutcome::Rejected {
            customer.counter.correct(ended.correction_units);
        }
        Some(CompletedCall { key, plan, call: ended.call })
    }

    /// Decides on a request from the total after its units were added, and queues a catch-up if the count
    /// lags.
    fn on_request_total(
        &mut self,
        key: CustomerKey,
        plan: PlanIndex,
        request: CountedRequest,
        total: f64,
        epoch: CounterEpoch,
    ) {
        let settings = self.settings.plan(plan);
        let tokens = epoch.tokens(settings, total - request.added_units);
        let burst_units = settings.burst_units;
        let lag_units = catch_up_units(burst_units, tokens);
        if let (Some(units), Some(customer)) = (lag_units, self.customers.get_mut(key)) {
            customer.counter.push_front(CounterCall::CatchUp(CatchUp { units, seen_total: total }));
        }
        self.decide_counted(key, plan, request, tokens.min(burst_units));
    }

    /// Decides on a request for which the counter returned no total. If the call was rejected, the request's
    /// units are due as a correction.
    fn on_missing_total(
        &mut self,
        key: CustomerKey,
        plan: PlanIndex,
        request: CountedRequest,
        is_rejected: bool,
    ) {
        let Some(customer) = self.customers.get_mut(key) else { return };
        let settings = self.settings.plan(plan);
        let tokens_at_most = customer.counter.tokens_at_most(settings, self.clock.now_ms());
        let tokens = assumed_tokens(settings.burst_units, tokens_at_most);
        if is_rejected {
            customer.counter.correct(request.added_units);
        }
        self.decide_counted(key, plan, request, tokens);
    }

    /// Takes a catch-up back if another gateway made the same catch-up at the same time.
    fn on_catch_up_total(&mut self, key: CustomerKey, catch_up: CatchUp, total: f64) {
        let Some(customer) = self.customers.get_mut(key) else { return };
        if is_duplicate_catch_up(catch_up, total) {
            customer.counter.correct(-catch_up.units);
        }
    }

    /// Records the customer's tokens from the total after a settlement.
    fn on_settlement_total(&mut self, key: CustomerKey, plan: PlanIndex, total: f64, epoch: CounterEpoch) {
        let Some(customer) = self.customers.get_mut(key) else { return };
        let settings = self.settings.plan(plan);
        let tokens = epoch.tokens(settings, total).min(settings.burst_units);
        customer.counter.record_tokens(tokens, self.clock.now_ms());
    }

    /// Decides on a counted request, given the customer's tokens before it, and records the tokens left. If
    /// the request isn't admitted or no longer waits for the counter, its units are given back if the refund
    /// is sampled (`refund_units`).
    fn decide_counted(&mut self, key: CustomerKey, plan: PlanIndex, request: CountedRequest, tokens: f64) {
        let refund_units = self.refund_units(request.units);
        let active = self.requests.get_mut(request.id).filter(|active| active.awaits_counter());
        let is_admitted = match active {
            Some(active) => {
                active.set_quota_state(decide_by_count(self.settings.plan(plan), request.units, tokens));
                active.quota_state().is_within_quota()
            }
            None => false,
        };
        let Some(customer) = self.customers.get_mut(key) else { return };
        let tokens_left = tokens - consumed_units(request, is_admitted);
        customer.counter.record_tokens(tokens_left, self.clock.now_ms());
        if !is_admitted {
            customer.counter.correct(-refund_units);
        }
    }

    /// Corrects the count by what an admitted request consumed in the end. If it was never sent, its units
    /// are given back instead if the refund is sampled (`refund_units`).
    pub(crate) fn settle_with_counter(&mut self, active: &ActiveRequest, actions: &mut Vec<Action>) {
        let unsent = active.is_unsent();
        let correction_units = if unsent {
            -self.refund_units(active.request.units)
        } else {
            settlement_units(active.quota_state(), active.excess_units())
        };
        let Some(customer) = self.customers.get_mut(active.customer_key) else { return };
        customer.counter.correct(correction_units);
        if unsent {
            self.call_counter(active.customer_key, actions);
        }
    }
}

/// Returns the total of the customer's count in the current epoch, or `None` if the call returned none.
///
/// Guards against a reply that arrives after its epoch has ended: its total is that of the old count, and
/// would show the customer far over its quota. The name of the count differs in each epoch.
fn total_of_epoch(outcome: CounterOutcome, name: u64, epoch: CounterEpoch) -> Option<f64> {
    match outcome {
        CounterOutcome::Total(total) if total.is_finite() && epoch.name == name => Some(total),
        _ => None,
    }
}
