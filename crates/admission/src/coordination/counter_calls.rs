//! Counter mode: calls to the shared quota counter, one at a time for each customer, and what its replies lead to.
use crate::action::Action;
use crate::event::CounterOutcome;
use crate::gateway::Gateway;
use crate::id::{CustomerTag, RequestId};
use crate::policy::quota_counter::count_catch_up::{catch_up_units, is_double_raise, COUNT_EPOCH_MS};
use crate::policy::quota_counter::count_decision::{
    assumed_tokens, decide_by_count, decide_over_quota, is_surely_over_quota,
};
use crate::policy::quota_counter::count_settlement::{consumed_units, may_call_at_once, settlement_units};
use crate::policy::quota_counter::counter_sampling::{
    refund_units, sample_request, sampling_fraction_after, SampleInput,
};
use crate::settings::PlanSettings;
use crate::state::{
    ActiveRequest, CatchUp, Coordination, CountedRequest, CounterCall, CounterEpoch, GatewaySet, QuotaState,
};

impl Gateway {
    /// Begins the quota check of a queued request: calls the counter for it, or decides by what was last seen,
    /// since the customer cannot have more tokens than the rate has added since.
    pub(crate) fn request_from_counter(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get(id) else { return };
        let tag = active.tag;
        let request = active.request.clone();
        let now_ms = self.clock.now_ms();
        let gateways = GatewaySet::of_request(&request, self.settings.gateways);
        let plan = self.settings.plan(request.plan).clone();
        let customer = self.customer_entry(tag, request.plan, gateways);
        if plan.rate_per_second <= 0.0 {
            return;
        }
        let tokens_at_most = customer.counter.tokens_at_most(&plan, now_ms);
        let quota = if is_surely_over_quota(tokens_at_most, request.units) {
            decide_over_quota(&plan)
        } else {
            match self.sample_for_counter(id, request.units, request.repeat) {
                Some(counted) => {
                    self.queue_counter_call(tag, CounterCall::Request(counted));
                    QuotaState::AwaitingCounter
                }
                None => QuotaState::AdmittedUncounted,
            }
        };
        if let Some(active) = self.requests.get_mut(id) {
            active.set_quota(quota);
        }
        self.call_counter(tag, actions);
    }

    /// The call to the counter for a request; `None` where it is not sampled.
    pub(crate) fn sample_for_counter(
        &mut self,
        id: RequestId,
        units: f64,
        is_repeat: bool,
    ) -> Option<CountedRequest> {
        let sampling_fraction = self.counter_sampling_fraction();
        let draw = self.random.next_fraction();
        let added_units = sample_request(SampleInput { sampling_fraction, is_repeat, draw, units })?;
        Some(CountedRequest { id, units, added_units })
    }

    /// Units to give back for a request whose units were counted but not used.
    pub(crate) fn refund_units(&mut self, units: f64) -> f64 {
        let sampling_fraction = self.counter_sampling_fraction();
        refund_units(units, sampling_fraction, self.random.next_fraction())
    }

    /// Fraction of the requests that the counter is called for.
    pub(crate) fn counter_sampling_fraction(&self) -> f64 {
        match &self.coordination {
            Coordination::Counter(calls) => calls.sampling_fraction(),
            _ => 1.0,
        }
    }

    /// Queues a call after the customer's others.
    fn queue_counter_call(&mut self, tag: CustomerTag, call: CounterCall) {
        if let Some(customer) = self.customers.get_mut(tag) {
            customer.counter.push(call);
        }
    }

    /// Makes a customer's next call, where none is in flight.
    pub(crate) fn call_counter(&mut self, tag: CustomerTag, actions: &mut Vec<Action>) {
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
        let Coordination::Counter(calls) = &mut self.coordination else { return };
        let Some(tag) = calls.complete(name) else { return };
        calls.set_sampling_fraction(sampling_fraction_after(outcome, calls.sampling_fraction()));
        let epoch = CounterEpoch::at(tag, self.clock.now_ms(), COUNT_EPOCH_MS);
        let Some(customer) = self.customers.get_mut(tag) else { return };
        let Some(ended) = customer.counter.complete() else { return };
        let Some(plan) = customer.plan().map(|p| self.settings.plan(p).clone()) else { return };
        let rejected = outcome == CounterOutcome::Rejected;
        if rejected {
            customer.counter.correct(ended.correction_units);
        }
        let total = match outcome {
            // A total that comes after the epoch has ended is of the old count.
            CounterOutcome::Total(total) if total.is_finite() && epoch.name == name => Some(total),
            _ => None,
        };
        match (ended.call, total) {
            (CounterCall::Request(request), Some(total)) => {
                self.on_total_of_request(tag, &plan, request, total, epoch)
            }
            (CounterCall::Request(request), None) => self.on_no_total(tag, &plan, request, rejected),
            (CounterCall::CatchUp(catch_up), Some(total)) => {
                if is_double_raise(catch_up, total) {
                    customer.counter.correct(-catch_up.units);
                }
            }
            (CounterCall::Settle, Some(total)) => {
                let tokens = epoch.tokens(&plan, total).min(plan.burst_units);
                customer.counter.record_tokens(tokens, self.clock.now_ms());
            }
            (CounterCall::CatchUp(_) | CounterCall::Settle, None) => {}
        }
        let has_queued_calls = self.customers.get(tag).is_some_and(|c| c.counter.has_queued());
        if may_call_at_once(rejected, has_queued_calls) {
            self.call_counter(tag, actions);
        }
    }

    /// Decides on a request by the total after its units were added.
    fn on_total_of_request(
        &mut self,
        tag: CustomerTag,
        plan: &PlanSettings,
        request: CountedRequest,
        total: f64,
        epoch: CounterEpoch,
    ) {
        let tokens = epoch.tokens(plan, total - request.added_units);
        if let (Some(units), Some(customer)) =
            (catch_up_units(plan.burst_units, tokens), self.customers.get_mut(tag))
        {
            customer.counter.push_first(CounterCall::CatchUp(CatchUp { units, seen_total: total }));
        }
        self.decide_counted(tag, plan, request, tokens.min(plan.burst_units));
    }

    /// Decides on a request for which the counter gave no total.
    fn on_no_total(
        &mut self,
        tag: CustomerTag,
        plan: &PlanSettings,
        request: CountedRequest,
        rejected: bool,
    ) {
        let Some(customer) = self.customers.get_mut(tag) else { return };
        let tokens_at_most = customer.counter.tokens_at_most(plan, self.clock.now_ms());
        let tokens = assumed_tokens(plan.burst_units, tokens_at_most);
        if rejected {
            customer.counter.correct(request.added_units);
        }
        self.decide_counted(tag, plan, request, tokens);
    }

    /// Decides on a request, given the customer's tokens before it, and records what it consumes.
    fn decide_counted(
        &mut self,
        tag: CustomerTag,
        plan: &PlanSettings,
        request: CountedRequest,
        tokens: f64,
    ) {
        let refund_units = self.refund_units(request.units);
        let active = self.requests.get_mut(request.id).filter(|active| active.awaits_counter());
        let is_admitted = match active {
            Some(active) => {
                active.set_quota(decide_by_count(plan, request.units, tokens));
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

    /// Corrects the count by what an admitted request took in the end: all of it is given back where it was
    /// never sent.
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
