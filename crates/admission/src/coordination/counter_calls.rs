//! Counter mode: calls to the shared quota counter, one at a time for each customer, and what its replies
//! lead to.
use crate::action::Action;
use crate::event::CounterOutcome;
use crate::gateway::Gateway;
use crate::id::{CustomerTag, PlanIndex, RequestId};
use crate::policy::quota_counter::count_catch_up::{catch_up_units, is_double_raise, COUNT_EPOCH_MS};
use crate::policy::quota_counter::count_decision::{
    assumed_tokens, decide_by_count, decide_over_quota, is_surely_over_quota,
};
use crate::policy::quota_counter::count_settlement::{consumed_units, may_call_at_once, settlement_units};
use crate::policy::quota_counter::counter_sampling::{
    refund_units, sample_request, sampling_fraction_after, SampleInput,
};
use crate::state::{
    ActiveRequest, CatchUp, Coordination, CountedRequest, CounterCall, CounterEpoch, GatewaySet, QuotaState,
};

/// A call to the counter that has ended.
#[derive(Debug, Clone, Copy)]
struct CompletedCall {
    /// The customer that it was for.
    tag: CustomerTag,
    /// The customer's plan.
    plan: PlanIndex,
    /// The call.
    call: CounterCall,
}

impl Gateway {
    /// Begins the quota check of a queued request: calls the counter for it, or decides by what was last
    /// seen, since the customer cannot have more tokens than the rate has added since.
    pub(crate) fn request_from_counter(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get(id) else { return };
        let (tag, plan_index) = (active.tag, active.request.plan);
        let (units, is_client_retry) = (active.request.units, active.request.is_client_retry);
        let gateways = GatewaySet::of_request(&active.request, self.settings.gateways);
        let now_ms = self.clock.now_ms();
        let (customer, plan) = self.customer_with_plan(tag, plan_index, gateways);
        if plan.rate_per_second <= 0.0 {
            return;
        }
        let tokens_at_most = customer.counter.tokens_at_most(plan, now_ms);
        let quota = if is_surely_over_quota(tokens_at_most, units) {
            decide_over_quota(plan)
        } else {
            self.call_or_admit(tag, id, units, is_client_retry)
        };
        if let Some(active) = self.requests.get_mut(id) {
            active.set_quota(quota);
        }
        self.call_counter(tag, actions);
    }

    /// Queues a call for a request where it is sampled; else admits it uncounted.
    fn call_or_admit(
        &mut self,
        tag: CustomerTag,
        id: RequestId,
        units: f64,
        is_client_retry: bool,
    ) -> QuotaState {
        let Some(counted) = self.sample_for_counter(id, units, is_client_retry) else {
            return QuotaState::AdmittedUncounted;
        };
        if let Some(customer) = self.customers.get_mut(tag) {
            customer.counter.push(CounterCall::Request(counted));
        }
        QuotaState::AwaitingCounter
    }

    /// The call to the counter for a request; `None` where it is not sampled.
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

    /// Units to give back for a request whose units were counted but not used.
    pub(crate) fn refund_units(&mut self, units: f64) -> f64 {
        let sampling_fraction = self.counter_sampling_fraction();
        refund_units(units, sampling_fraction, self.random.next_fraction())
    }

    /// Fraction of the requests that the counter is called for.
    fn counter_sampling_fraction(&self) -> f64 {
        match &self.coordination {
            Coordination::Counter(calls) => calls.sampling_fraction(),
            _ => 1.0,
        }
    }

    /// Makes a customer's next call, where none is in flight.
    fn call_counter(&mut self, tag: CustomerTag, actions: &mut Vec<Action>) {
        let name = CounterEpoch::at(tag, self.clock.now_ms(), COUNT_EPOCH_MS).name;
        let Some(customer) = self.customers.get_mut(tag) else { return };
        let Coordination::Counter(calls) = &mut self.coordination else { return };
        let requests = &self.requests;
        let waits_for_reply = |id| requests.get(id).is_some_and(ActiveRequest::awaits_counter);
        let Some(amount) = customer.counter.next_call(waits_for_reply) else { return };
        calls.start(name, tag);
        actions.push(Action::AddToCounter { name, amount, ttl_ms: COUNT_EPOCH_MS });
    }

    /// Applies the counter's reply to a customer's call, and makes the next call.
    pub(crate) fn on_counter_reply(&mut self, name: u64, outcome: CounterOutcome, actions: &mut Vec<Action>) {
        let Some(CompletedCall { tag, plan, call }) = self.complete_counter_call(name, outcome) else {
            return;
        };
        let epoch = CounterEpoch::at(tag, self.clock.now_ms(), COUNT_EPOCH_MS);
        let is_rejected = outcome == CounterOutcome::Rejected;
        match (call, total_of_epoch(outcome, name, epoch)) {
            (CounterCall::Request(request), Some(total)) => {
                self.on_total_of_request(tag, plan, request, total, epoch);
            }
            (CounterCall::Request(request), None) => self.on_no_total(tag, plan, request, is_rejected),
            (CounterCall::CatchUp(raise), Some(total)) => self.on_total_of_raise(tag, raise, total),
            (CounterCall::Settle, Some(total)) => self.on_total_of_settlement(tag, plan, total, epoch),
            (CounterCall::CatchUp(_) | CounterCall::Settle, None) => {}
        }
        let has_queued_calls = self.customers.get(tag).is_some_and(|c| c.counter.has_queued());
        if may_call_at_once(is_rejected, has_queued_calls) {
            self.call_counter(tag, actions);
        }
    }

    /// Ends the call in flight to a count, and adapts the sampling fraction. Corrections that a rejected call
    /// carried are due again.
    fn complete_counter_call(&mut self, name: u64, outcome: CounterOutcome) -> Option<CompletedCall> {
        let Coordination::Counter(calls) = &mut self.coordination else { return None };
        let tag = calls.complete(name)?;
        calls.set_sampling_fraction(sampling_fraction_after(outcome, calls.sampling_fraction()));
        let customer = self.customers.get_mut(tag)?;
        let ended = customer.counter.complete()?;
        let plan = customer.plan()?;
        if outcome == CounterOutcome::Rejected {
            customer.counter.correct(ended.correction_units);
        }
        Some(CompletedCall { tag, plan, call: ended.call })
    }

    /// Decides on a request by the total after its units were added, and queues a raise of a count that lags.
    fn on_total_of_request(
        &mut self,
        tag: CustomerTag,
        plan: PlanIndex,
        request: CountedRequest,
        total: f64,
        epoch: CounterEpoch,
    ) {
        let settings = self.settings.plan(plan);
        let tokens = epoch.tokens(settings, total - request.added_units);
        let burst_units = settings.burst_units;
        let raise_units = catch_up_units(burst_units, tokens);
        if let (Some(units), Some(customer)) = (raise_units, self.customers.get_mut(tag)) {
            customer.counter.push_front(CounterCall::CatchUp(CatchUp { units, seen_total: total }));
        }
        self.decide_counted(tag, plan, request, tokens.min(burst_units));
    }

    /// Decides on a request for which the counter gave no total.
    fn on_no_total(&mut self, tag: CustomerTag, plan: PlanIndex, request: CountedRequest, is_rejected: bool) {
        let Some(customer) = self.customers.get_mut(tag) else { return };
        let settings = self.settings.plan(plan);
        let tokens_at_most = customer.counter.tokens_at_most(settings, self.clock.now_ms());
        let tokens = assumed_tokens(settings.burst_units, tokens_at_most);
        if is_rejected {
            customer.counter.correct(request.added_units);
        }
        self.decide_counted(tag, plan, request, tokens);
    }

    /// Takes a raise back where another gateway raised the count at the same time.
    fn on_total_of_raise(&mut self, tag: CustomerTag, raise: CatchUp, total: f64) {
        let Some(customer) = self.customers.get_mut(tag) else { return };
        if is_double_raise(raise, total) {
            customer.counter.correct(-raise.units);
        }
    }

    /// Records the tokens that the total of a settlement shows.
    fn on_total_of_settlement(&mut self, tag: CustomerTag, plan: PlanIndex, total: f64, epoch: CounterEpoch) {
        let Some(customer) = self.customers.get_mut(tag) else { return };
        let settings = self.settings.plan(plan);
        let tokens = epoch.tokens(settings, total).min(settings.burst_units);
        customer.counter.record_tokens(tokens, self.clock.now_ms());
    }

    /// Decides on a request, given the customer's tokens before it, and records what it consumes.
    fn decide_counted(&mut self, tag: CustomerTag, plan: PlanIndex, request: CountedRequest, tokens: f64) {
        let refund_units = self.refund_units(request.units);
        let active = self.requests.get_mut(request.id).filter(|active| active.awaits_counter());
        let is_admitted = match active {
            Some(active) => {
                active.set_quota(decide_by_count(self.settings.plan(plan), request.units, tokens));
                active.quota().is_within_quota()
            }
            None => false,
        };
        let Some(customer) = self.customers.get_mut(tag) else { return };
        let tokens_left = tokens - consumed_units(request, is_admitted);
        customer.counter.record_tokens(tokens_left, self.clock.now_ms());
        if !is_admitted {
            customer.counter.correct(-refund_units);
        }
    }

    /// Corrects the count by what an admitted request consumed in the end: all its units are given back where
    /// it was never sent.
    pub(crate) fn settle_counted(&mut self, active: &ActiveRequest, actions: &mut Vec<Action>) {
        let unsent = active.is_unsent();
        let correction_units = if unsent {
            -self.refund_units(active.request.units)
        } else {
            settlement_units(active.quota(), active.settled_units())
        };
        let Some(customer) = self.customers.get_mut(active.tag) else { return };
        customer.counter.correct(correction_units);
        if unsent {
            self.call_counter(active.tag, actions);
        }
    }
}

/// The total that a call showed of the present epoch; `None` where it showed none.
///
/// Guards against a reply that comes after its epoch has ended: its total is of the old count, and would show
/// the customer far over its quota. The name of the count differs in each epoch.
fn total_of_epoch(outcome: CounterOutcome, name: u64, epoch: CounterEpoch) -> Option<f64> {
    match outcome {
        CounterOutcome::Total(total) if total.is_finite() && epoch.name == name => Some(total),
        _ => None,
    }
}
