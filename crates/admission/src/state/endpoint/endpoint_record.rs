//! One endpoint of the list, and what is known of it.
use crate::event::{EndpointEntry, EndpointState};
use crate::id::{EndpointId, MachineKindIndex, ZoneIndex};
use crate::mechanism::decaying_rate::DecayingRate;
use crate::state::{AttemptRef, EndpointHealth, ObservedHealth, RelativeResponseTime, WarmUpTokens};

/// One of this gateway's own attempts at an endpoint that has not ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct InFlightAttempt {
    /// When it was sent, in ms.
    pub(crate) sent_ms: f64,
    /// Its name.
    pub(crate) reference: AttemptRef,
}

/// How an endpoint's figures are smoothed.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EndpointSmoothing {
    /// Half-life with which a relative response time returns to what is usual, in ms.
    pub(crate) response_time_half_life_ms: f64,
    /// Span over which the rate of attempts sent is smoothed, in seconds.
    pub(crate) send_rate_span_s: f64,
}

/// One endpoint of the list, and what is known of it.
#[derive(Debug)]
pub(crate) struct Endpoint {
    /// As the list has it.
    entry: EndpointEntry,
    /// This gateway's own attempts that have not ended.
    in_flight: Vec<InFlightAttempt>,
    /// Own attempts sent a second.
    send_rate: DecayingRate,
    smoothing: EndpointSmoothing,
    /// Tokens for own attempts while it is warming up.
    pub(crate) warm_up_tokens: WarmUpTokens,
    /// Health as own attempts show it.
    pub(crate) health: EndpointHealth,
    /// Health as the gateways of a large fleet observe it; unused in broadcast mode.
    pub(crate) observed_health: ObservedHealth,
    /// Response time over what is usual.
    pub(crate) response_time: RelativeResponseTime,
}

impl Endpoint {
    /// An endpoint newly listed, with `warm_up_tokens` to start with.
    pub(crate) fn new(
        entry: EndpointEntry,
        now_ms: f64,
        warm_up_tokens: f64,
        smoothing: EndpointSmoothing,
    ) -> Self {
        Endpoint {
            entry,
            in_flight: Vec::new(),
            send_rate: DecayingRate::default(),
            smoothing,
            warm_up_tokens: WarmUpTokens::new(warm_up_tokens, now_ms),
            health: EndpointHealth::new(now_ms),
            observed_health: ObservedHealth::new(now_ms),
            response_time: RelativeResponseTime::new(now_ms, smoothing.response_time_half_life_ms),
        }
    }

    /// Applies a new entry of the list. A process that has restarted gets a new record; only the attempts in
    /// flight, which were sent to the process before it, stay.
    pub(crate) fn update(&mut self, entry: EndpointEntry, now_ms: f64, warm_up_tokens: f64) {
        let has_restarted = entry.started_at_ms != self.entry.started_at_ms && entry.started_at_ms.is_some();
        if has_restarted {
            let in_flight = std::mem::take(&mut self.in_flight);
            *self = Endpoint { in_flight, ..Endpoint::new(entry, now_ms, warm_up_tokens, self.smoothing) };
            return;
        }
        self.entry = EndpointEntry { started_at_ms: self.entry.started_at_ms, ..entry };
    }

    /// Marks it as no longer listed.
    pub(crate) fn mark_gone(&mut self) {
        self.entry.state = EndpointState::Gone;
    }

    /// Its id.
    pub(crate) fn id(&self) -> EndpointId {
        self.entry.id
    }

    /// Its zone, as an index.
    pub(crate) fn zone(&self) -> ZoneIndex {
        self.entry.zone
    }

    /// Its machine kind, as an index.
    pub(crate) fn kind(&self) -> MachineKindIndex {
        self.entry.kind
    }

    /// Its cell.
    pub(crate) fn cell(&self) -> u64 {
        self.entry.cell
    }

    /// Whether the list permits new attempts at it.
    pub(crate) fn is_ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }

    /// Whether it is no longer listed.
    pub(crate) fn is_gone(&self) -> bool {
        self.entry.state == EndpointState::Gone
    }

    /// Time since its process started, in ms; `None` where that was long ago.
    pub(crate) fn age_ms(&self, now_ms: f64) -> Option<f64> {
        self.entry.started_at_ms.map(|started_ms| now_ms - started_ms)
    }
}

/// This gateway's own attempts.
impl Endpoint {
    /// Records that an attempt was sent.
    pub(crate) fn record_sent(&mut self, attempt: InFlightAttempt) {
        self.send_rate.add(1.0, attempt.sent_ms, self.smoothing.send_rate_span_s);
        self.in_flight.push(attempt);
    }

    /// Removes an ended attempt from those in flight.
    pub(crate) fn remove_in_flight(&mut self, ended: AttemptRef) {
        self.in_flight.retain(|attempt| attempt.reference != ended);
    }

    /// Own attempts that have not ended.
    pub(crate) fn in_flight(&self) -> &[InFlightAttempt] {
        &self.in_flight
    }

    /// When the oldest own attempt in flight was sent, in ms; `None` where there is none.
    pub(crate) fn oldest_sent_ms(&self) -> Option<f64> {
        self.in_flight.iter().map(|a| a.sent_ms).reduce(f64::min)
    }

    /// Mean age of own attempts in flight, in ms; `None` where there are none.
    pub(crate) fn mean_in_flight_age_ms(&self, now_ms: f64) -> Option<f64> {
        let count = Some(self.in_flight.len()).filter(|n| *n > 0)?;
        Some(self.in_flight.iter().map(|a| now_ms - a.sent_ms).sum::<f64>() / count as f64)
    }

    /// Own attempts sent a second.
    pub(crate) fn send_rate(&self, now_ms: f64) -> f64 {
        self.send_rate.now(now_ms, self.smoothing.send_rate_span_s)
    }
}
