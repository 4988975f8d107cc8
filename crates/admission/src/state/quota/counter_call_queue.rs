//! Counter mode: a customer's queue of calls to the quota counter, and the corrections that the customer's
//! count needs.
use crate::id::RequestId;
use crate::settings::PlanSettings;
use std::collections::VecDeque;

/// A call to the quota counter, by its purpose.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum CounterCall {
    /// Adds the units of a request; the total in the reply shows whether the customer had tokens for them.
    Request(CountedRequest),
    /// Raises a count that is so low that it leaves the customer more tokens than the burst.
    CatchUp(CatchUp),
    /// Adds only the corrections, when no other call is queued.
    Settle,
}

/// A request for which the counter is called.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CountedRequest {
    /// Id of the request.
    pub(crate) id: RequestId,
    /// Units of the request itself.
    pub(crate) units: f64,
    /// Units that the call adds: those of the request and of the unsampled requests that it represents.
    pub(crate) added_units: f64,
}

/// The amount by which a call raises a count that has fallen behind the plan's rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CatchUp {
    /// Units that the call adds.
    pub(crate) units: f64,
    /// Total, in units, that showed that the count had fallen behind.
    pub(crate) seen_total: f64,
}

impl CounterCall {
    /// Returns the units that the call adds, without corrections.
    fn units(&self) -> f64 {
        match self {
            CounterCall::Request(request) => request.added_units,
            CounterCall::CatchUp(catch_up) => catch_up.units,
            CounterCall::Settle => 0.0,
        }
    }
}

/// A call in flight and the corrections that it carries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CallInFlight {
    /// The call, without corrections.
    pub(crate) call: CounterCall,
    /// Corrections that the call carries, in units; below 0 they lower the count.
    pub(crate) correction_units: f64,
}

/// The tokens of a customer after its last call: by the total in the reply, or as assumed if the counter gave
/// no total.
#[derive(Debug, Clone, Copy, PartialEq)]
struct RecordedTokens {
    /// Tokens of the customer, in units.
    tokens: f64,
    /// When the tokens were recorded, in ms.
    recorded_ms: f64,
}

/// A customer's queue of calls to the quota counter. One call is in flight at a time, so that each reply
/// belongs to a known call.
#[derive(Debug, Clone, Default)]
pub(crate) struct CounterCallQueue {
    /// The call that awaits its reply.
    in_flight: Option<CallInFlight>,
    /// Calls that wait to be made, oldest first.
    queue: VecDeque<CounterCall>,
    /// Units by which the count is too low; below 0, too high. The next call adds them.
    correction_units: f64,
    /// Tokens after the last call; `None` before the first one has ended.
    recorded: Option<RecordedTokens>,
}

impl CounterCallQueue {
    /// Adds a call to the end of the queue.
    pub(crate) fn push(&mut self, call: CounterCall) {
        self.queue.push_back(call);
    }

    /// Adds a call to the front of the queue.
    pub(crate) fn push_front(&mut self, call: CounterCall) {
        self.queue.push_front(call);
    }

    /// Returns whether a call is in flight or queued, or corrections are still to be sent.
    pub(crate) fn is_busy(&self) -> bool {
        self.in_flight.is_some() || self.has_queued() || self.correction_units != 0.0
    }

    /// Returns whether calls are queued.
    pub(crate) fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Starts the next call and returns the units that it adds; `None` if a call is in flight or there is
    /// nothing to add. Calls for requests that no longer wait for a reply are dropped. If no call is queued,
    /// a call that adds only the corrections is made.
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

    /// Ends the call in flight and returns it.
    pub(crate) fn complete(&mut self) -> Option<CallInFlight> {
        self.in_flight.take()
    }

    /// Adds units to the corrections that the next call carries.
    pub(crate) fn correct(&mut self, units: f64) {
        self.correction_units += units;
    }

    /// Records the tokens that the customer has after a call.
    pub(crate) fn record_tokens(&mut self, tokens: f64, now_ms: f64) {
        self.recorded = Some(RecordedTokens { tokens, recorded_ms: now_ms });
    }

    /// Returns the most tokens that the customer can have now: those last recorded and what the rate has
    /// added since, up to the burst. `None` before the first call has ended.
    pub(crate) fn tokens_at_most(&self, plan: &PlanSettings, now_ms: f64) -> Option<f64> {
        let recorded = self.recorded?;
        let accrued = plan.rate_per_second * (now_ms - recorded.recorded_ms).max(0.0) / 1000.0;
        Some((recorded.tokens + accrued).min(plan.burst_units))
    }
}
