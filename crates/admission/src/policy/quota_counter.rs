//! Quotas held through the shared counter, where gateways may not send each other messages.
use crate::event::CounterOutcome;
use crate::gateway::Gateway;
use crate::id::RequestId;
use crate::settings::PlanSettings;
use crate::state::{ActiveRequest, CatchUp, CountedRequest, QuotaState};

/// Length of a count's epoch, after which the count begins anew under another name: the counter keeps no name
/// for longer.
pub(crate) const COUNT_EPOCH_MS: f64 = 60_000.0;

/// Fraction of the burst by which a count may lie behind the clock. A count is not raised sooner, since each
/// customer that comes back after a while would cost one more call; what it can save beyond its burst until
/// then is little.
const MAX_LAG_FRACTION: f64 = 0.25;

/// Where others added more than this fraction of the units by which a gateway raised a count, another gateway
/// has raised it as well: one of them takes its units back.
const DOUBLE_RAISE_FRACTION: f64 = 0.5;

/// Above this fraction of the burst the quota is ample: the true units need not be reported.
pub(crate) const AMPLE_FRACTION: f64 = 0.5;

/// The counter serves a limited number of calls a second, also calls that nobody waits for any more. So the
/// gateways share it as TCP shares a link: each total received raises the fraction of the requests that the
/// counter is asked about by the increase, each call without a total multiplies it by the decrease, down to
/// the least. The requests asked about stand for the others.
const SAMPLING_INCREASE: f64 = 0.01;
const SAMPLING_DECREASE: f64 = 0.85;
const MIN_COUNTER_SAMPLING: f64 = 0.05;

/// Requests that one request stands for at most. Without a limit a few would empty every quota after an
/// outage of the counter.
const MAX_SAMPLE_WEIGHT: f64 = 3.0;

impl Gateway {
    /// Whether the counter is asked about a request, and what is added to the count then: what is not asked
    /// about goes on, and what is asked about takes its units too.
    pub(crate) fn sample_for_counter(
        &mut self,
        id: RequestId,
        units: f64,
        repeat: bool,
    ) -> Option<CountedRequest> {
        // A repeat, where clients mark it, is most likely one of a customer over its quota.
        let fraction = if repeat { 1.0 } else { self.counter_sampling_fraction() };
        let sampled = self.random.next_fraction() < fraction;
        let weight = (1.0 / fraction).min(MAX_SAMPLE_WEIGHT);
        sampled.then_some(CountedRequest { id, units, added_units: units * weight })
    }

    /// Units to give back for a request whose units were taken but not used. Each such call leaves the
    /// counter one request fewer. So only a fraction of them is made, as of the requests, and each stands for
    /// the others.
    pub(crate) fn refund_units(&mut self, units: f64) -> f64 {
        let fraction = self.counter_sampling_fraction().max(1.0 / MAX_SAMPLE_WEIGHT);
        if self.random.next_fraction() < fraction {
            units / fraction
        } else {
            0.0
        }
    }
}

/// The fraction of requests to ask the counter about after the outcome of a call.
pub(crate) fn sampling_fraction_after(outcome: CounterOutcome, fraction: f64) -> f64 {
    match outcome {
        CounterOutcome::Total(_) => (fraction + SAMPLING_INCREASE).min(1.0),
        _ => (fraction * SAMPLING_DECREASE).max(MIN_COUNTER_SAMPLING),
    }
}

/// A request over the quota; what earns more than it costs may still go on, where there is room.
pub(crate) fn over_quota(plan: &PlanSettings) -> QuotaState {
    let within_ceiling = plan.pays_over_quota() && plan.ceiling_rate_per_second <= 0.0;
    QuotaState::OverQuota { within_ceiling }
}

/// Decides on a request that waits for the counter, given the customer's tokens before it.
pub(crate) fn decide_by_count(plan: &PlanSettings, units: f64, tokens: f64) -> QuotaState {
    let ample = tokens > AMPLE_FRACTION * plan.burst_units;
    if tokens >= units {
        QuotaState::AdmittedByCounter { ample }
    } else {
        over_quota(plan)
    }
}

/// Tokens to assume where the counter gave no total. Most customers are well inside their quota, and those
/// last seen over it stay over it until the rate has brought enough.
pub(crate) fn assumed_tokens(plan: &PlanSettings, tokens_at_most: Option<f64>) -> f64 {
    tokens_at_most.unwrap_or(plan.burst_units)
}

/// Units by which to raise a count that shows these tokens; `None` where it is not far behind the clock.
pub(crate) fn catch_up_units(plan: &PlanSettings, tokens: f64) -> Option<f64> {
    let behind = tokens - plan.burst_units;
    (behind > MAX_LAG_FRACTION * plan.burst_units).then_some(behind)
}

/// Whether another gateway raised the count at the same time.
pub(crate) fn raised_twice(catch_up: CatchUp, total: f64) -> bool {
    total - catch_up.seen_total - catch_up.units > DOUBLE_RAISE_FRACTION * catch_up.units
}

/// Units by which the count is wrong once a request that was sent has ended. The true units, where the tokens
/// were few, wait for the customer's next call: guesses are as often too high as too low.
pub(crate) fn settlement_units(active: &ActiveRequest) -> f64 {
    match active.quota() {
        QuotaState::AdmittedByCounter { ample: false } => active.settled_units(),
        _ => 0.0,
    }
}
