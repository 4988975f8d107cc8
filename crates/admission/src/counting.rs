//! Part of the decision policy: quotas held through the counter, where gateways may not send each other messages.
//! A customer's count has two hands: what its tries took, which gateways add, and what its rate filled, which the
//! clock tells. Their distance is the level of its store, so that a gateway that never saw the customer knows it
//! from one answer. A count that lies behind the clock by more than a little, after idle time, is brought up.
use crate::interface::*;
use crate::ledger::count_now;

use crate::state::{Call, Customer, Gateway, Open, Quota};

/// A count begins anew so often: the counter keeps no name longer. Each customer's at a time of its own.
pub(crate) const COUNT_SPAN_MS: f64 = 60_000.0;
/// Parts of the burst by which a count may lie behind the clock. What is saved up beyond the burst until then is
/// little, and each customer that comes back after a while costs one more call.
pub(crate) const BEHIND: f64 = 0.25;
/// When another gateway has raised the count by this part of what is to be raised, both have: one takes it back.
pub(crate) const RAISED_TWICE: f64 = 0.5;
/// From this part of the burst the level is easy: the true units need not be told.
pub(crate) const EASY_PART: f64 = 0.5;

/// The counter serves so many calls a second and works through those, too, that nobody waits for. Each answer brings
/// the part of the requests that it is asked about up by this, each call without one down by this factor, to no less
/// than the least; what is asked about stands for the rest. So the gateways share what it can do.
pub(crate) const PART_UP: f64 = 0.01;
pub(crate) const PART_DOWN: f64 = 0.85;
pub(crate) const PART_LEAST: f64 = 0.05;
/// So many requests one stands for at most: after an outage a few would empty every store.
pub(crate) const STANDS_MOST: f64 = 3.0;

impl Customer {
    /// The level at most, going by what was last told of it; none where nothing was.
    fn level_at_most(&self, plan: &PlanSettings, now: f64) -> Option<f64> {
        let (level, at_ms) = self.count.level?;
        Some((level + plan.rate_per_s * (now - at_ms).max(0.0) / 1000.0).min(plan.burst_units))
    }
}

impl Gateway {
    /// Puts a held request's question to whoever can tell of its quota: the keeper, the counter, or where neither may
    /// be asked nobody, and each gateway grants what it would alone.
    pub(crate) fn ask_quota(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.settings.may_tell {
            self.ask(id, 0, actions);
        } else if self.settings.may_count {
            self.ask_counter(id, actions);
        } else if let Some(open) = self.open.get_mut(&id) {
            open.inside = true;
            let (tag, r) = (open.tag, open.request.clone());
            self.acquaint(tag, r.plan, r.first, r.spread.clamp(1, self.settings.gateways));
        }
    }

    /// Puts a held request's question to the counter. What was last told may do: the level cannot be higher than
    /// the rate has filled it since.
    fn ask_counter(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let (r, tag, now) = (open.request.clone(), open.tag, self.now);
        let plan = self.settings.plans[r.plan].clone();
        let (first, spread) = (r.first, r.spread.clamp(1, self.settings.gateways));
        let customer = self.acquaint(tag, r.plan, first, spread);
        if plan.rate_per_s <= 0.0 {
            return;
        }
        let short = customer.level_at_most(&plan, now).is_some_and(|most| most < r.units);
        // A try again, where clients mark it, is most likely one of a customer beyond its quota.
        let part = if r.repeat { 1.0 } else { self.count_part };
        let asks = !short && self.random_part() < part;
        // What is not asked about goes on, and what is asked about takes its units too.
        let takes = r.units * (1.0 / part).min(STANDS_MOST);
        if let Some(customer) = self.customers.get_mut(&tag).filter(|_| asks) {
            customer.count.queue.push_back(Call::Ask { id, units: r.units, takes });
        }
        let Some(open) = self.open.get_mut(&id) else { return };
        (open.inside, open.easy) = (!short, true);
        open.quota = match (short, asks) {
            (true, _) => beyond(&plan),
            (_, true) => Quota::Counting,
            _ => Quota::Counted { asked: false },
        };
        self.call_counter(tag, actions);
    }

    /// Makes a customer's next call. It has one out at a time, so that each answer belongs to one question.
    fn call_counter(&mut self, tag: u64, actions: &mut Vec<Action>) {
        let (name, _) = count_now(tag, self.now);
        let Some(customer) = self.customers.get_mut(&tag) else { return };
        let count = &mut customer.count;
        while count.calling.is_none() {
            let call = match count.queue.pop_front() {
                // Its client has gone, or its time is over.
                Some(Call::Ask { id, .. })
                    if !self.open.get(&id).is_some_and(|o| !o.answered && o.quota == Quota::Counting) =>
                {
                    continue
                }
                Some(call) => call,
                None if count.owed != 0.0 => Call::Settle,
                None => return,
            };
            let more = match call {
                Call::Ask { takes, .. } => takes,
                Call::Raise { by, .. } => by,
                Call::Settle => 0.0,
            };
            let owed = std::mem::take(&mut count.owed);
            count.calling = Some((call, owed));
            self.counted.insert(name, tag);
            actions.push(Action::Count { name, amount: more + owed, ttl_ms: COUNT_SPAN_MS });
        }
    }

    /// Takes the counter's answer to a customer's call.
    pub(crate) fn on_counted(&mut self, name: u64, outcome: CountOutcome, actions: &mut Vec<Action>) {
        let Some(tag) = self.counted.remove(&name) else { return };
        let now = self.now;
        self.count_part = match outcome {
            CountOutcome::Total(_) => (self.count_part + PART_UP).min(1.0),
            _ => (self.count_part * PART_DOWN).max(PART_LEAST),
        };
        let Some(customer) = self.customers.get_mut(&tag) else { return };
        let Some((call, owed)) = customer.count.calling.take() else { return };
        let Some(plan) = customer.plan.map(|p| self.settings.plans[p].clone()) else { return };
        let told = match outcome {
            CountOutcome::Total(total) if total.is_finite() && count_now(tag, now).0 == name => Some(total),
            // An answer over the turn of a count tells of the old one.
            CountOutcome::Total(_) | CountOutcome::Unanswered => None,
            CountOutcome::Rejected => {
                customer.count.owed += owed;
                None
            }
        };
        let filled = plan.burst_units + plan.rate_per_s * count_now(tag, now).1;
        match (call, told) {
            (Call::Ask { id, units, takes }, Some(total)) => {
                let level = filled - (total - takes);
                let behind = level - plan.burst_units;
                if behind > BEHIND * plan.burst_units {
                    customer.count.queue.push_front(Call::Raise { by: behind, seen: total });
                }
                self.decide(id, tag, &plan, level.min(plan.burst_units), units, takes);
            }
            (Call::Ask { id, units, takes }, None) => {
                // Nobody knows: most customers are well inside their quota, and those last seen beyond it wait.
                let level = customer.level_at_most(&plan, now).unwrap_or(plan.burst_units);
                if outcome == CountOutcome::Rejected {
                    customer.count.owed += takes;
                }
                self.decide(id, tag, &plan, level, units, takes);
            }
            (Call::Raise { by, seen }, Some(total)) => {
                if total - seen - by > RAISED_TWICE * by {
                    customer.count.owed -= by;
                }
            }
            (Call::Settle, Some(total)) => {
                customer.count.level = Some(((filled - total).min(plan.burst_units), now));
            }
            (Call::Raise { .. } | Call::Settle, None) => {}
        }
        // A counter that turns calls away is not asked again at once to put right what it has.
        let queue = self.customers.get(&tag).is_some_and(|c| !c.count.queue.is_empty());
        if outcome != CountOutcome::Rejected || queue {
            self.call_counter(tag, actions);
        }
    }

    /// Grants or refuses a request that its count was asked about, given the level before it.
    fn decide(&mut self, id: RequestId, tag: u64, plan: &PlanSettings, level: f64, units: f64, takes: f64) {
        let (now, granted) = (self.now, level >= units);
        let back = self.gives_back(units);
        let open = self.open.get_mut(&id).filter(|o| !o.answered && o.quota == Quota::Counting);
        let taken = granted && open.is_some();
        if let Some(open) = open {
            open.inside = granted;
            open.easy = level > EASY_PART * plan.burst_units;
            open.quota = if granted { Quota::Counted { asked: true } } else { beyond(plan) };
        }
        if let Some(customer) = self.customers.get_mut(&tag) {
            customer.count.level = Some((level - if taken { takes } else { takes - units }, now));
            // What does not go on inside the quota takes nothing from it.
            customer.count.owed -= if taken { 0.0 } else { back };
        }
    }

    /// What is given back for units that were taken in vain. Each such call is one question fewer: where the counter
    /// can't answer all, the same part of them is made, and each stands for the others.
    fn gives_back(&mut self, units: f64) -> f64 {
        let part = self.count_part.max(1.0 / STANDS_MOST);
        Some(units / part).filter(|_| self.random_part() < part).unwrap_or(0.0)
    }

    /// Puts right what a request took in the end: all of it where it was never sent. The true units, where the level
    /// was low, wait for the customer's next call: guesses are as often too high as too low.
    pub(crate) fn settle_count(&mut self, open: &Open, actions: &mut Vec<Action>) {
        let unsent = open.attempts.is_empty();
        let back = if unsent { self.gives_back(open.request.units) } else { 0.0 };
        let owed = match (unsent, open.easy) {
            (true, _) => -back,
            (false, true) => 0.0,
            (false, false) => open.settled,
        };
        if let Some(customer) = self.customers.get_mut(&open.tag) {
            customer.count.owed += owed;
            if unsent {
                self.call_counter(open.tag, actions);
            }
        }
    }
}

/// Beyond the quota; what earns more than it costs may still go on, where there is room.
fn beyond(plan: &PlanSettings) -> Quota {
    let soft = plan.over_worth > plan.over_cost && plan.open_limit == 0 && plan.ceiling_rate_per_s <= 0.0;
    Quota::Beyond { ceiling: soft }
}
