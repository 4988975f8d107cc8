//! Counter mode: a customer's calls to the shared counter, and the corrections that its count is due.
use crate::id::RequestId;
use crate::settings::PlanSettings;
use std::collections::VecDeque;

/// A call to the counter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum CounterCall {
    /// Adds the units of a request, to learn whether the count had tokens for them.
    Request(CountedRequest),
    /// Raises a count that lags behind the clock.
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
    /// The total that showed the lag.
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
    /// Corrections that it carries, in units; below 0 they lower the count.
    pub(crate) correction_units: f64,
}

/// Tokens of a customer as the counter last showed them.
#[derive(Debug, Clone, Copy, PartialEq)]
struct TokensSeen {
    /// The tokens.
    tokens: f64,
    /// When the counter showed them, in ms.
    at_ms: f64,
}

/// A customer's calls to the counter. One is in flight at a time, so that each reply belongs to one call.
#[derive(Debug, Clone, Default)]
pub(crate) struct CounterAccount {
    /// The call in flight.
    in_flight: Option<CallInFlight>,
    /// Queued calls, oldest first.
    queue: VecDeque<CounterCall>,
    /// Units by which the count is too low; below 0, too high. The next call adds them.
    correction_units: f64,
    /// What the last reply showed.
    seen: Option<TokensSeen>,
}

impl CounterAccount {
    /// Queues a call after all others.
    pub(crate) fn push(&mut self, call: CounterCall) {
        self.queue.push_back(call);
    }

    /// Queues a call before all others.
    pub(crate) fn push_first(&mut self, call: CounterCall) {
        self.queue.push_front(call);
    }

    /// Whether calls are queued.
    pub(crate) fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Starts the next call where none is in flight, and returns the units that it adds. Calls for requests
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

    /// Records what a reply showed of the customer's tokens.
    pub(crate) fn record_tokens(&mut self, tokens: f64, now_ms: f64) {
        self.seen = Some(TokensSeen { tokens, at_ms: now_ms });
    }

    /// The most tokens that the customer can have now, by what the last reply showed and what the rate has
    /// added since; `None` before the first reply.
    pub(crate) fn tokens_at_most(&self, plan: &PlanSettings, now_ms: f64) -> Option<f64> {
        let seen = self.seen?;
        let accrued = plan.rate_per_second * (now_ms - seen.at_ms).max(0.0) / 1000.0;
        Some((seen.tokens + accrued).min(plan.burst_units))
    }
}
