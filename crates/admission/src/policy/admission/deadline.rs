//! Whether a request can still be answered in time, and when it is overdue.
use crate::policy::upkeep::UPKEEP_INTERVAL_MS;

/// Mean response times that must be left for a request while the endpoints are saturated. Response times
/// spread widely then, and a response that the client no longer waits for is wasted work.
const MIN_RESPONSE_TIMES_LEFT_SATURATED: f64 = 2.5;

/// Mean response times that must be left for a request while the endpoints are not saturated. It is less than
/// one because endpoints that were slow must be sent requests, or their recovery would go unnoticed.
const MIN_RESPONSE_TIMES_LEFT: f64 = 0.8;

/// Ticks, as `Settings::tick_ms` has them, by which a response must precede the client's deadline.
const RESPONSE_MARGIN_TICKS: f64 = 2.0;

/// The times by which a request is judged.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestTimes {
    /// The time of the event being handled, in ms.
    pub(crate) now_ms: f64,
    /// When the request's latency objective is reached, in ms.
    pub(crate) objective_at_ms: f64,
    /// When its client stops waiting, in ms.
    pub(crate) deadline_at_ms: f64,
    /// Shortest time between two rounds of events, in ms.
    pub(crate) tick_ms: f64,
    /// Mean response time of its class, in ms.
    pub(crate) mean_response_ms: f64,
    /// Whether the endpoints count as saturated: the stock is above half of the band's middle.
    pub(crate) endpoints_saturated: bool,
}

impl RequestTimes {
    /// Time until the latency objective or the last round of upkeep that can still answer the client,
    /// whichever comes first, in ms.
    pub(crate) fn time_left_ms(&self) -> f64 {
        let last_response_ms =
            self.deadline_at_ms - UPKEEP_INTERVAL_MS - RESPONSE_MARGIN_TICKS * self.tick_ms;
        self.objective_at_ms.min(last_response_ms) - self.now_ms
    }

    /// Whether a response can no longer be expected in the time left.
    pub(crate) fn is_too_late(&self) -> bool {
        let response_times = if self.endpoints_saturated {
            MIN_RESPONSE_TIMES_LEFT_SATURATED
        } else {
            MIN_RESPONSE_TIMES_LEFT
        };
        self.time_left_ms() < response_times * self.mean_response_ms
    }

    /// Whether the deadline comes before the next round of upkeep could answer.
    fn deadline_is_near(&self) -> bool {
        self.deadline_at_ms - self.now_ms < UPKEEP_INTERVAL_MS + RESPONSE_MARGIN_TICKS * self.tick_ms
    }
}

/// Whether a request must be finished now. One with an attempt in flight waits for it until the deadline is
/// near; one that is unsent is finished as soon as a response can no longer come in time.
pub(crate) fn is_overdue(times: &RequestTimes, is_unsent: bool) -> bool {
    times.deadline_is_near() || is_unsent && times.is_too_late()
}
