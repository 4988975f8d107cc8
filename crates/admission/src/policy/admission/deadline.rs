//! Decides whether a request can still be answered in time, and when it is overdue.
use crate::policy::upkeep::UPKEEP_INTERVAL_MS;

/// Time that a request must have left while the endpoints are loaded, in mean response times of its class.
/// Response times vary widely then, and work on a response that the client no longer waits for is wasted.
const MIN_RESPONSE_TIMES_LEFT_LOADED: f64 = 2.5;

/// Time that a request must have left while the endpoints are not loaded, in mean response times of its
/// class. It is less than one: endpoints that were slow must still be sent requests, or their recovery would
/// go unnoticed.
const MIN_RESPONSE_TIMES_LEFT: f64 = 0.8;

/// Time by which a response must precede the client's deadline, in ticks (`Settings::tick_ms`).
const RESPONSE_MARGIN_TICKS: f64 = 2.0;

/// The times that decide whether a request can still be answered in time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestTimes {
    /// The time of the event being handled, in ms.
    pub(crate) now_ms: f64,
    /// The time at which the request's latency objective is reached, in ms.
    pub(crate) objective_at_ms: f64,
    /// The time at which the client stops waiting, in ms.
    pub(crate) deadline_at_ms: f64,
    /// Length of a tick, from the settings, in ms.
    pub(crate) tick_ms: f64,
    /// Mean response time of the request's class, in ms.
    pub(crate) class_response_ms: f64,
    /// Whether the endpoints are loaded: the fleet's attempts in flight exceed half of the band's middle.
    /// This is below the band's bounds.
    pub(crate) endpoints_loaded: bool,
}

impl RequestTimes {
    /// Returns the time in which a response must come, in ms: until the latency objective, or until the last
    /// round of upkeep in which the client can still be answered if that is earlier.
    pub(crate) fn time_left_to_respond_ms(&self) -> f64 {
        let last_response_ms =
            self.deadline_at_ms - UPKEEP_INTERVAL_MS - RESPONSE_MARGIN_TICKS * self.tick_ms;
        self.objective_at_ms.min(last_response_ms) - self.now_ms
    }

    /// Returns whether the time left is too short to expect a response.
    pub(crate) fn is_too_late(&self) -> bool {
        let response_times =
            if self.endpoints_loaded { MIN_RESPONSE_TIMES_LEFT_LOADED } else { MIN_RESPONSE_TIMES_LEFT };
        self.time_left_to_respond_ms() < response_times * self.class_response_ms
    }

    /// Returns whether an answer in the next round of upkeep could miss the client's deadline.
    fn deadline_is_near(&self) -> bool {
        self.deadline_at_ms - self.now_ms < UPKEEP_INTERVAL_MS + RESPONSE_MARGIN_TICKS * self.tick_ms
    }
}

/// Returns whether a request must be finished now. A request with an attempt in flight waits for the attempt
/// until the deadline is near; an unsent request is finished as soon as a response can no longer come in
/// time.
pub(crate) fn is_overdue(times: &RequestTimes, is_unsent: bool) -> bool {
    times.deadline_is_near() || is_unsent && times.is_too_late()
}
