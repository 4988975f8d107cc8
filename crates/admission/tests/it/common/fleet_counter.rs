//! The shared counter that a fleet's gateways may call.
use irishinge_admission::CounterOutcome;
use std::collections::BTreeMap;

/// Calls are numbered from 1 in each span of this time.
const SPAN_MS: f64 = 100.0;

/// What the counter does with a call.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum CounterBehaviour {
    /// It adds the amount and replies with the total.
    Answers,
    /// It adds nothing and replies that it rejected the call.
    Rejects,
    /// It adds the amount and sends no reply.
    Silent,
}

/// A reply, and how long it takes.
pub(crate) struct DelayedReply {
    pub(crate) outcome: CounterOutcome,
    pub(crate) took_ms: f64,
}

pub(crate) struct FleetCounter {
    totals: BTreeMap<u64, f64>,
    /// The number of calls so far.
    pub(crate) calls: usize,
    span: u64,
    calls_in_span: usize,
    /// What it does with the call of this number in a span of 100 ms.
    pub(crate) behaviour: fn(call: usize) -> CounterBehaviour,
}

impl FleetCounter {
    pub(crate) fn new() -> Self {
        FleetCounter {
            totals: BTreeMap::new(),
            calls: 0,
            span: 0,
            calls_in_span: 0,
            behaviour: |_| CounterBehaviour::Answers,
        }
    }

    /// Handles a call that came at `now_ms`.
    pub(crate) fn add(&mut self, now_ms: f64, name: u64, amount: f64) -> DelayedReply {
        self.calls += 1;
        let total = self.totals.entry(name).or_insert(0.0);
        let span = (now_ms / SPAN_MS) as u64;
        self.calls_in_span = if span == self.span { self.calls_in_span + 1 } else { 1 };
        self.span = span;
        let behaviour = (self.behaviour)(self.calls_in_span);
        *total += if behaviour == CounterBehaviour::Rejects { 0.0 } else { amount };
        let (outcome, took_ms) = match behaviour {
            CounterBehaviour::Answers => (CounterOutcome::Total(*total), 4.0),
            CounterBehaviour::Rejects => (CounterOutcome::Rejected, 4.0),
            CounterBehaviour::Silent => (CounterOutcome::Unanswered, 50.0),
        };
        DelayedReply { outcome, took_ms }
    }
}
