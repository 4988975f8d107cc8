//! An endpoint of the list, and what is known about it.
use crate::event::{EndpointEntry, EndpointState};
use crate::id::{EndpointId, MachineKindIndex, ZoneIndex};
use crate::mechanism::decaying_rate::DecayingRate;
use crate::state::{AttemptId, EndpointHealth, ObservedHealth, RelativeResponseTime, WarmUpTokens};

/// One of this gateway's attempts in flight at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct InFlightAttempt {
    /// When the attempt was sent, in ms.
    pub(crate) sent_ms: f64,
    /// Identifies the attempt.
    pub(crate) attempt_id: AttemptId,
}

/// The times over which an endpoint's response time and send rate are smoothed.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EndpointSmoothing {
    /// Half-life with which the relative response time returns to the usual value without new samples, in ms.
    pub(crate) response_time_half_life_ms: f64,
    /// Time constant with which the rate of attempts sent is smoothed, in seconds.
    pub(crate) send_rate_time_constant_s: f64,
}

/// An endpoint of the list, and what is known about it.
#[derive(Debug)]
pub(crate) struct Endpoint {
    /// The endpoint's entry in the list.
    entry: EndpointEntry,
    /// This gateway's attempts in flight at the endpoint.
    in_flight: Vec<InFlightAttempt>,
    /// Rate of attempts that this gateway sends to the endpoint, per second.
    send_rate: DecayingRate,
    /// The times over which `response_time` and `send_rate` are smoothed.
    smoothing: EndpointSmoothing,
    /// Tokens for this gateway's attempts while the endpoint is warming up.
    pub(crate) warm_up_tokens: WarmUpTokens,
    /// The endpoint's health, as this gateway's own attempts show it.
    pub(crate) health: EndpointHealth,
    /// The endpoint's health, as the gateways of a large fleet observe it; unused in broadcast mode.
    pub(crate) observed_health: ObservedHealth,
    /// The endpoint's response time as a multiple of the mean.
    pub(crate) response_time: RelativeResponseTime,
}

impl Endpoint {
    /// Creates the record of a newly listed endpoint, which starts with `warm_up_tokens`.
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

    /// Applies a new entry of the list. If the endpoint's process has restarted, the record is replaced by a
    /// new one, and only the attempts in flight, which were sent to the earlier process, are kept.
    pub(crate) fn update(&mut self, entry: EndpointEntry, now_ms: f64, warm_up_tokens: f64) {
        let has_restarted = entry.started_at_ms != self.entry.started_at_ms && entry.started_at_ms.is_some();
        if has_restarted {
            let in_flight = std::mem::take(&mut self.in_flight);
            *self = Endpoint { in_flight, ..Endpoint::new(entry, now_ms, warm_up_tokens, self.smoothing) };
            return;
        }
        self.entry = EndpointEntry { started_at_ms: self.entry.started_at_ms, ..entry };
    }

    /// Marks the endpoint as no longer listed.
    pub(crate) fn mark_gone(&mut self) {
        self.entry.state = EndpointState::Gone;
    }

    /// Returns the endpoint's id.
    pub(crate) fn id(&self) -> EndpointId {
        self.entry.id
    }

    /// Returns the endpoint's zone.
    pub(crate) fn zone(&self) -> ZoneIndex {
        self.entry.zone
    }

    /// Returns the endpoint's machine kind.
    pub(crate) fn kind(&self) -> MachineKindIndex {
        self.entry.kind
    }

    /// Returns the endpoint's cell.
    pub(crate) fn cell(&self) -> u64 {
        self.entry.cell
    }

    /// Returns whether the list permits new attempts at the endpoint.
    pub(crate) fn is_ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }

    /// Returns whether the endpoint is no longer listed.
    pub(crate) fn is_gone(&self) -> bool {
        self.entry.state == EndpointState::Gone
    }

    /// Returns the time since the endpoint's process started, in ms, or `None` if it started long ago.
    pub(crate) fn age_ms(&self, now_ms: f64) -> Option<f64> {
        self.entry.started_at_ms.map(|started_ms| now_ms - started_ms)
    }
}

/// This gateway's attempts at the endpoint.
impl Endpoint {
    /// Records that an attempt was sent.
    pub(crate) fn record_sent(&mut self, attempt: InFlightAttempt) {
        self.send_rate.add(1.0, attempt.sent_ms, self.smoothing.send_rate_time_constant_s);
        self.in_flight.push(attempt);
    }

    /// Removes an attempt that has ended from those in flight.
    pub(crate) fn remove_in_flight(&mut self, ended: AttemptId) {
        self.in_flight.retain(|attempt| attempt.attempt_id != ended);
    }

    /// Returns this gateway's attempts in flight at the endpoint.
    pub(crate) fn in_flight(&self) -> &[InFlightAttempt] {
        &self.in_flight
    }

    /// Returns when the oldest attempt in flight was sent, in ms, or `None` if none is in flight.
    pub(crate) fn oldest_sent_ms(&self) -> Option<f64> {
        self.in_flight.iter().map(|a| a.sent_ms).reduce(f64::min)
    }

    /// Returns the mean age of the attempts in flight, in ms, or `None` if none is in flight.
    pub(crate) fn mean_in_flight_age_ms(&self, now_ms: f64) -> Option<f64> {
        let count = Some(self.in_flight.len()).filter(|n| *n > 0)?;
        Some(self.in_flight.iter().map(|a| now_ms - a.sent_ms).sum::<f64>() / count as f64)
    }

    /// Returns the rate of attempts that this gateway sends to the endpoint, per second.
    pub(crate) fn send_rate(&self, now_ms: f64) -> f64 {
        self.send_rate.per_second_at(now_ms, self.smoothing.send_rate_time_constant_s)
    }
}
