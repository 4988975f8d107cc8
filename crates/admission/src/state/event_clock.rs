//! The time by which decisions are made: that of the event being handled.

/// The time of the event being handled, and when the next round of upkeep is due.
#[derive(Debug, Default)]
pub(crate) struct EventClock {
    /// The time of the event being handled, in milliseconds.
    now_ms: f64,
    /// When the gateway started, in milliseconds.
    started_ms: f64,
    /// When the next round of upkeep is due, in milliseconds.
    next_tick_ms: f64,
    /// The first round of upkeep has been scheduled.
    ticking: bool,
}

impl EventClock {
    /// A clock of a gateway that starts now.
    pub(crate) fn new(now_ms: f64) -> Self {
        EventClock { now_ms, started_ms: now_ms, ..EventClock::default() }
    }

    /// The time of the event being handled, in milliseconds.
    pub(crate) fn now_ms(&self) -> f64 {
        self.now_ms
    }

    /// Time since the gateway's start, in milliseconds.
    pub(crate) fn since_start_ms(&self) -> f64 {
        self.now_ms - self.started_ms
    }

    /// Moves to an event's time. A host's clock may be set back: an event dated before the last one counts
    /// as of the last one's time. Else the time between would pass twice, and token buckets would refill
    /// twice for it.
    pub(crate) fn advance(&mut self, now_ms: f64) {
        self.now_ms = self.now_ms.max(now_ms);
    }

    /// Whether this is the first call: the first round of upkeep is to be scheduled.
    pub(crate) fn start_ticking(&mut self) -> bool {
        !std::mem::replace(&mut self.ticking, true)
    }

    /// Schedules the next round of upkeep `after_ms` from now, and returns its time in milliseconds.
    pub(crate) fn schedule_tick(&mut self, after_ms: f64) -> f64 {
        self.next_tick_ms = self.now_ms + after_ms;
        self.next_tick_ms
    }

    /// The time for which the next round of upkeep is scheduled, in milliseconds.
    pub(crate) fn next_tick_ms(&self) -> f64 {
        self.next_tick_ms
    }

    /// Whether the next round of upkeep is scheduled for later than `after_ms` from now.
    pub(crate) fn next_tick_is_beyond(&self, after_ms: f64) -> bool {
        self.next_tick_ms > self.now_ms + after_ms
    }
}
