//! The shared quota counter that the gateways of a simulated fleet call.
use irishinge_admission::CounterOutcome;
use std::collections::BTreeMap;

/// Interval after which the numbering of calls restarts at 1, in ms.
const NUMBERING_INTERVAL_MS: f64 = 100.0;

/// The counter's handling of a call.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum CounterBehaviour {
    /// The counter adds the amount and replies with the total.
    Replies,
    /// The counter adds nothing and replies that it rejected the call.
    Rejects,
    /// The counter adds the amount and does not reply.
    Silent,
}

/// The outcome of a call and the time until the gateway learns it.
pub(crate) struct DelayedReply {
    pub(crate) outcome: CounterOutcome,
    pub(crate) took_ms: f64,
}

/// A quota counter whose behaviour a test can set.
pub(crate) struct FleetCounter {
    totals: BTreeMap<u64, f64>,
    /// Number of calls since the start.
    pub(crate) calls: usize,
    /// Index of the numbering interval of the last call.
    interval: u64,
    /// Number of calls in that interval.
    calls_in_interval: usize,
    /// Behaviour for a call, by its number in the current interval of 100 ms.
    pub(crate) behaviour: fn(call: usize) -> CounterBehaviour,
}

impl FleetCounter {
    pub(crate) fn new() -> Self {
        FleetCounter {
            totals: BTreeMap::new(),
            calls: 0,
            interval: 0,
            calls_in_interval: 0,
            behaviour: |_| CounterBehaviour::Replies,
        }
    }

    /// Handles a call received at `now_ms`.
    pub(crate) fn add(&mut self, now_ms: f64, name: u64, amount: f64) -> DelayedReply {
        self.calls += 1;
        let total = self.totals.entry(name).or_insert(0.0);
        let interval = (now_ms / NUMBERING_INTERVAL_MS) as u64;
        self.calls_in_interval = if interval == self.interval { self.calls_in_interval + 1 } else { 1 };
        self.interval = interval;
        let behaviour = (self.behaviour)(self.calls_in_interval);
        *total += if behaviour == CounterBehaviour::Rejects { 0.0 } else { amount };
        let (outcome, took_ms) = match behaviour {
            CounterBehaviour::Replies => (CounterOutcome::Total(*total), 4.0),
            CounterBehaviour::Rejects => (CounterOutcome::Rejected, 4.0),
            CounterBehaviour::Silent => (CounterOutcome::Unanswered, 50.0),
        };
        DelayedReply { outcome, took_ms }
    }
}
