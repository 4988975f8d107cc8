//! Dealings with the shared counter: each customer's calls, and what is known of the counter itself.
use crate::id::{CustomerTag, RequestId};
use crate::mechanism::splitmix64::mix;
use crate::settings::PlanSettings;
use std::collections::{BTreeMap, VecDeque};

/// A call to the counter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum CounterCall {
    /// Adds the units of a request, to learn whether the count had room for them.
    Request(CountedRequest),
    /// Raises a count that lies behind the clock.
    CatchUp(CatchUp),
    /// Adds only the corrections due.
    Settle,
}

/// A request that the counter is called for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CountedRequest {
    /// The request.
    pub(crate) id: RequestId,
    /// Units of the request itself.
    pub(crate) units: f64,
    /// Units added to the count: also those of the requests that this one stands for.
    pub(crate) added_units: f64,
}

/// By how much a count is raised to keep up with the clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CatchUp {
    /// Units to be added.
    pub(crate) units: f64,
    /// The total that showed the count to lie behind.
    pub(crate) seen_total: f64,
}

impl CounterCall {
    /// Units that the call adds, without corrections.
    fn units(&self) -> f64 {
        match self {
            CounterCall::Request(request) => request.added_units,
            CounterCall::CatchUp(catch_up) => catch_up.units,
            CounterCall::Settle => 0.0,
        }
    }
}

/// The call in flight, with the corrections that it carries along.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CallInFlight {
    /// The call.
    pub(crate) call: CounterCall,
    /// Corrections that it carries, in units.
    pub(crate) correction_units: f64,
}

/// Tokens of a customer as the counter last showed them.
#[derive(Debug, Clone, Copy, PartialEq)]
struct TokensSeen {
    /// The tokens.
    tokens: f64,
    /// When the counter showed them.
    at_ms: f64,
}

/// A customer's calls to the counter. One is in flight at a time, so that each reply belongs to one call.
#[derive(Debug, Clone, Default)]
pub(crate) struct CounterAccount {
    /// The call that a reply is awaited to.
    in_flight: Option<CallInFlight>,
    /// Calls to come, oldest first.
    queue: VecDeque<CounterCall>,
    /// Units by which the count is too low; below 0, too high. The next call adds them.
    correction_units: f64,
    /// What the last reply showed.
    seen: Option<TokensSeen>,
}

impl CounterAccount {
    /// Puts a call after all others.
    pub(crate) fn push(&mut self, call: CounterCall) {
        self.queue.push_back(call);
    }

    /// Puts a call before all others.
    pub(crate) fn push_first(&mut self, call: CounterCall) {
        self.queue.push_front(call);
    }

    /// Whether calls wait for the one in flight.
    pub(crate) fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Starts the next call where none is in flight, and gives the units that it adds. Calls for requests
    /// that no longer wait for a reply are dropped. With no call queued, corrections are settled alone.
    pub(crate) fn next_call(&mut self, waits_for_reply: impl Fn(RequestId) -> bool) -> Option<f64> {
        if self.in_flight.is_some() {
            return None;
        }
        let call = loop {
            match self.queue.pop_front() {
                Some(CounterCall::Request(request)) if !waits_for_reply(request.id) => {}
                Some(call) => break call,
                None if self.correction_units != 0.0 => break CounterCall::Settle,
                None => return None,
            }
        };
        let correction_units = std::mem::take(&mut self.correction_units);
        self.in_flight = Some(CallInFlight { call, correction_units });
        Some(call.units() + correction_units)
    }

    /// Ends the call in flight.
    pub(crate) fn complete(&mut self) -> Option<CallInFlight> {
        self.in_flight.take()
    }

    /// Adds to the corrections due.
    pub(crate) fn correct(&mut self, units: f64) {
        self.correction_units += units;
    }

    /// Keeps what a reply showed of the customer's tokens.
    pub(crate) fn record_tokens(&mut self, tokens: f64, now_ms: f64) {
        self.seen = Some(TokensSeen { tokens, at_ms: now_ms });
    }

    /// The most tokens the customer can have now, by what was last seen and the rate since; `None` where
    /// nothing was seen.
    pub(crate) fn tokens_at_most(&self, plan: &PlanSettings, now_ms: f64) -> Option<f64> {
        let seen = self.seen?;
        let accrued = plan.rate_per_second * (now_ms - seen.at_ms).max(0.0) / 1000.0;
        Some((seen.tokens + accrued).min(plan.burst_units))
    }
}

/// The epoch of a customer's count: the counter forgets names after a while, so each epoch has its own.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CounterEpoch {
    /// Name of the count at the counter.
    pub(crate) name: u64,
    /// Seconds since the epoch began.
    pub(crate) age_s: f64,
}

impl CounterEpoch {
    /// Tokens of a customer by the total of its count: what the burst and the rate gave since the epoch
    /// began, less the total.
    pub(crate) fn tokens(&self, plan: &PlanSettings, total: f64) -> f64 {
        plan.burst_units + plan.rate_per_second * self.age_s - total
    }

    /// The present epoch of a customer, of epochs of this length. Each customer's begin at a time of its own,
    /// so that the counts do not all begin anew at once.
    pub(crate) fn at(tag: CustomerTag, now_ms: f64, epoch_ms: f64) -> Self {
        let phase_ms = (mix(tag.0) % epoch_ms as u64) as f64;
        let number = ((now_ms + phase_ms) / epoch_ms).floor();
        let name = mix(tag.0 ^ mix(number as i64 as u64)) >> 1;
        CounterEpoch { name, age_s: (now_ms + phase_ms - number * epoch_ms) / 1000.0 }
    }
}

/// What a gateway knows of the shared counter.
#[derive(Debug)]
pub(crate) struct CounterCalls {
    /// Fraction of the requests that the counter is called for, 0 to 1.
    sampling_fraction: f64,
    /// Customers with a call in flight, by the name of their count.
    in_flight: BTreeMap<u64, CustomerTag>,
}

impl CounterCalls {
    /// No calls in flight, and all requests to be called for.
    pub(crate) fn new() -> Self {
        CounterCalls { sampling_fraction: 1.0, in_flight: BTreeMap::new() }
    }

    /// Fraction of the requests that the counter is called for, 0 to 1.
    pub(crate) fn sampling_fraction(&self) -> f64 {
        self.sampling_fraction
    }

    /// Sets the fraction of the requests that the counter is called for.
    pub(crate) fn set_sampling_fraction(&mut self, fraction: f64) {
        self.sampling_fraction = fraction;
    }

    /// Enters a call for a customer.
    pub(crate) fn start(&mut self, name: u64, tag: CustomerTag) {
        self.in_flight.insert(name, tag);
    }

    /// Ends a call, and gives the customer that it was for.
    pub(crate) fn complete(&mut self, name: u64) -> Option<CustomerTag> {
        self.in_flight.remove(&name)
    }
}
