//! Quotas held through the shared counter, where gateways may not send each other messages.
use crate::action::Action;
use crate::coordination::Coordination;
use crate::event::CounterOutcome;
use crate::gateway::Gateway;
use crate::id::RequestId;
use crate::settings::PlanSettings;
use crate::state::customer::{count_now, Call};
use crate::state::request::{ActiveRequest, QuotaState};

/// A count begins anew so often: the counter keeps no name longer. Each customer's at a time of its own.
pub(crate) const COUNT_EPOCH_MS: f64 = 60_000.0;

/// Parts of the burst by which a count may lie behind the clock. What is saved up beyond the burst until then
/// is little, and each customer that comes back after a while costs one more call.
pub(crate) const MAX_LAG_FRACTION: f64 = 0.25;

/// When another gateway has raised the count by this part of what is to be raised, both have: one takes it
/// back.
pub(crate) const DOUBLE_RAISE_FRACTION: f64 = 0.5;

/// From this part of the burst the level is easy: the true units need not be told.
pub(crate) const AMPLE_FRACTION: f64 = 0.5;

/// The counter serves so many calls a second and works through those, too, that nobody waits for. Each answer
/// brings the part of the requests that it is asked about up by this, each call without one down by this
/// factor, to no less than the least; what is asked about stands for the rest. So the gateways share what it
/// can do.
pub(crate) const SAMPLING_INCREASE: f64 = 0.01;
pub(crate) const SAMPLING_DECREASE: f64 = 0.85;
pub(crate) const MIN_COUNTER_SAMPLING: f64 = 0.05;

/// So many requests one stands for at most: after an outage a few would empty every store.
pub(crate) const MAX_SAMPLE_WEIGHT: f64 = 3.0;

/// Beyond the quota; what earns more than it costs may still go on, where there is room.
pub(crate) fn beyond(plan: &PlanSettings) -> QuotaState {
    let soft = plan.over_quota_value > plan.over_quota_cost
        && plan.open_limit == 0
        && plan.ceiling_rate_per_second <= 0.0;
    QuotaState::OverQuota { within_ceiling: soft }
}

impl Gateway {
    /// Puts a held request's question to whoever can tell of its quota: the keeper, the counter, or where
    /// neither may be asked nobody, and each gateway grants what it would alone.
    pub(crate) fn check_quota(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        match self.coordination {
            Coordination::Gossip => self.request_quota(id, 0, actions),
            Coordination::Counter => self.request_from_counter(id, actions),
            Coordination::Broadcast | Coordination::Isolated => {
                let Some(active) = self.requests.active.get_mut(&id) else { return };
                active.within_quota = true;
                let (tag, r) = (active.tag, active.request.clone());
                self.customer_entry(tag, r.plan, r.first, r.spread.clamp(1, self.settings.gateways));
            }
        }
    }

    /// Puts a held request's question to the counter. What was last told may do: the level cannot be higher
    /// than the rate has filled it since.
    pub(crate) fn request_from_counter(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.active.get(&id) else { return };
        let (r, tag, now) = (active.request.clone(), active.tag, self.clock.now_ms);
        let plan = self.settings.plans[r.plan].clone();
        let (first, spread) = (r.first, r.spread.clamp(1, self.settings.gateways));
        let customer = self.customer_entry(tag, r.plan, first, spread);
        if plan.rate_per_second <= 0.0 {
            return;
        }
        let short = customer.tokens_at_most(&plan, now).is_some_and(|most| most < r.units);
        // A try again, where clients mark it, is most likely one of a customer beyond its quota.
        let part = if r.repeat { 1.0 } else { self.quota_counter.sampling_fraction };
        let asks = !short && self.random.next_fraction() < part;
        // What is not asked about goes on, and what is asked about takes its units too.
        let takes = r.units * (1.0 / part).min(MAX_SAMPLE_WEIGHT);
        if let Some(customer) = self.customers.by_tag.get_mut(&tag).filter(|_| asks) {
            customer.count.queue.push_back(Call::Ask { id, units: r.units, takes });
        }
        let Some(active) = self.requests.active.get_mut(&id) else { return };
        (active.within_quota, active.ample) = (!short, true);
        active.quota = match (short, asks) {
            (true, _) => beyond(&plan),
            (_, true) => QuotaState::AwaitingCounter,
            _ => QuotaState::AdmittedByCounter { asked: false },
        };
        self.call_counter(tag, actions);
    }

    /// Takes the counter's answer to a customer's call.
    pub(crate) fn on_counter_reply(&mut self, name: u64, outcome: CounterOutcome, actions: &mut Vec<Action>) {
        let Some(tag) = self.quota_counter.calls.remove(&name) else { return };
        let now = self.clock.now_ms;
        self.quota_counter.sampling_fraction = match outcome {
            CounterOutcome::Total(_) => (self.quota_counter.sampling_fraction + SAMPLING_INCREASE).min(1.0),
            _ => (self.quota_counter.sampling_fraction * SAMPLING_DECREASE).max(MIN_COUNTER_SAMPLING),
        };
        let Some(customer) = self.customers.by_tag.get_mut(&tag) else { return };
        let Some((call, owed)) = customer.count.calling.take() else { return };
        let Some(plan) = customer.plan.map(|p| self.settings.plans[p].clone()) else { return };
        let told = match outcome {
            CounterOutcome::Total(total) if total.is_finite() && count_now(tag, now).0 == name => Some(total),
            // An answer over the turn of a count tells of the old one.
            CounterOutcome::Total(_) | CounterOutcome::Unanswered => None,
            CounterOutcome::Rejected => {
                customer.count.owed += owed;
                None
            }
        };
        let filled = plan.burst_units + plan.rate_per_second * count_now(tag, now).1;
        match (call, told) {
            (Call::Ask { id, units, takes }, Some(total)) => {
                let level = filled - (total - takes);
                let behind = level - plan.burst_units;
                if behind > MAX_LAG_FRACTION * plan.burst_units {
                    customer.count.queue.push_front(Call::Raise { by: behind, seen: total });
                }
                self.decide_counted(id, tag, &plan, level.min(plan.burst_units), units, takes);
            }
            (Call::Ask { id, units, takes }, None) => {
                // Nobody knows: most customers are well inside their quota, and those last seen beyond it
                // wait.
                let level = customer.tokens_at_most(&plan, now).unwrap_or(plan.burst_units);
                if outcome == CounterOutcome::Rejected {
                    customer.count.owed += takes;
                }
                self.decide_counted(id, tag, &plan, level, units, takes);
            }
            (Call::Raise { by, seen }, Some(total)) => {
                if total - seen - by > DOUBLE_RAISE_FRACTION * by {
                    customer.count.owed -= by;
                }
            }
            (Call::Settle, Some(total)) => {
                customer.count.level = Some(((filled - total).min(plan.burst_units), now));
            }
            (Call::Raise { .. } | Call::Settle, None) => {}
        }
        // A counter that turns calls away is not asked again at once to put right what it has.
        let queue = self.customers.by_tag.get(&tag).is_some_and(|c| !c.count.queue.is_empty());
        if outcome != CounterOutcome::Rejected || queue {
            self.call_counter(tag, actions);
        }
    }

    /// Grants or refuses a request that its count was asked about, given the level before it.
    pub(crate) fn decide_counted(
        &mut self,
        id: RequestId,
        tag: u64,
        plan: &PlanSettings,
        level: f64,
        units: f64,
        takes: f64,
    ) {
        let (now, granted) = (self.clock.now_ms, level >= units);
        let back = self.refund(units);
        let active = self
            .requests
            .active
            .get_mut(&id)
            .filter(|o| !o.answered && o.quota == QuotaState::AwaitingCounter);
        let taken = granted && active.is_some();
        if let Some(active) = active {
            active.within_quota = granted;
            active.ample = level > AMPLE_FRACTION * plan.burst_units;
            active.quota = if granted { QuotaState::AdmittedByCounter { asked: true } } else { beyond(plan) };
        }
        if let Some(customer) = self.customers.by_tag.get_mut(&tag) {
            customer.count.level = Some((level - if taken { takes } else { takes - units }, now));
            // What does not go on inside the quota takes nothing from it.
            customer.count.owed -= if taken { 0.0 } else { back };
        }
    }

    /// What is given back for units that were taken in vain. Each such call is one question fewer: where the
    /// counter can't answer all, the same part of them is made, and each stands for the others.
    pub(crate) fn refund(&mut self, units: f64) -> f64 {
        let part = self.quota_counter.sampling_fraction.max(1.0 / MAX_SAMPLE_WEIGHT);
        Some(units / part).filter(|_| self.random.next_fraction() < part).unwrap_or(0.0)
    }

    /// Puts right what a request took in the end: all of it where it was never sent. The true units, where
    /// the level was low, wait for the customer's next call: guesses are as often too high as too low.
    pub(crate) fn settle_counted(&mut self, active: &ActiveRequest, actions: &mut Vec<Action>) {
        let unsent = active.attempts.is_empty();
        let back = if unsent { self.refund(active.request.units) } else { 0.0 };
        let owed = match (unsent, active.ample) {
            (true, _) => -back,
            (false, true) => 0.0,
            (false, false) => active.settled_units,
        };
        if let Some(customer) = self.customers.by_tag.get_mut(&active.tag) {
            customer.count.owed += owed;
            if unsent {
                self.call_counter(active.tag, actions);
            }
        }
    }
}
