//! The clock of a gateway, which stands at the time of the event being handled.

/// The time of the event being handled, and when the next round of upkeep is due.
#[derive(Debug, Default)]
pub(crate) struct EventClock {
    /// The time of the event being handled, in milliseconds.
    now_ms: f64,
    /// When the gateway started, in milliseconds.
    started_ms: f64,
    /// When the next round of upkeep is due, in milliseconds.
    next_upkeep_ms: f64,
    /// Whether the first round of upkeep has been scheduled.
    upkeep_started: bool,
}

impl EventClock {
    /// Creates the clock of a gateway that starts now.
    pub(crate) fn new(now_ms: f64) -> Self {
        EventClock { now_ms, started_ms: now_ms, ..EventClock::default() }
    }

    /// Returns the time of the event being handled, in milliseconds.
    pub(crate) fn now_ms(&self) -> f64 {
        self.now_ms
    }

    /// Returns the time since the gateway's start, in milliseconds.
    pub(crate) fn since_start_ms(&self) -> f64 {
        self.now_ms - self.started_ms
    }

    /// Advances to the time of an event. The host's clock may be set back: an event that is dated before the
    /// last one counts as having the last one's time. Otherwise the same span of time would pass twice, and
    /// token buckets would be refilled twice for it.
    pub(crate) fn advance(&mut self, now_ms: f64) {
        self.now_ms = self.now_ms.max(now_ms);
    }

    /// Returns `true` on the first call, when the first round of upkeep is to be scheduled, and `false` on
    /// later ones.
    pub(crate) fn start_upkeep(&mut self) -> bool {
        !std::mem::replace(&mut self.upkeep_started, true)
    }

    /// Schedules the next round of upkeep `after_ms` from now, and returns its time in milliseconds.
    pub(crate) fn schedule_upkeep(&mut self, after_ms: f64) -> f64 {
        self.next_upkeep_ms = self.now_ms + after_ms;
        self.next_upkeep_ms
    }

    /// Returns the time for which the next round of upkeep is scheduled, in milliseconds.
    pub(crate) fn next_upkeep_ms(&self) -> f64 {
        self.next_upkeep_ms
    }

    /// Returns whether the next round of upkeep is scheduled for later than `after_ms` from now.
    pub(crate) fn next_upkeep_is_beyond(&self, after_ms: f64) -> bool {
        self.next_upkeep_ms > self.now_ms + after_ms
    }
}
