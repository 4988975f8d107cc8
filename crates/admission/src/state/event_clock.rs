//! The time by which decisions are made: that of the event being handled.

/// The time of the event being handled, and when the next round of upkeep is due.
#[derive(Debug, Default)]
pub(crate) struct EventClock {
    now_ms: f64,
    started_ms: f64,
    next_tick_ms: f64,
    /// The first round of upkeep has been scheduled.
    ticking: bool,
}

impl EventClock {
    /// A clock of a gateway that starts now.
    pub(crate) fn new(now_ms: f64) -> Self {
        EventClock { now_ms, started_ms: now_ms, ..EventClock::default() }
    }

    /// The time of the event being handled.
    pub(crate) fn now_ms(&self) -> f64 {
        self.now_ms
    }

    /// Time since the gateway's start.
    pub(crate) fn since_start_ms(&self) -> f64 {
        self.now_ms - self.started_ms
    }

    /// Moves to an event's time. An event that is dated back counts as of now.
    pub(crate) fn advance(&mut self, now_ms: f64) {
        self.now_ms = self.now_ms.max(now_ms);
    }

    /// Whether this is the first call: the first round of upkeep is to be scheduled.
    pub(crate) fn start_ticking(&mut self) -> bool {
        !std::mem::replace(&mut self.ticking, true)
    }

    /// Sets the next round of upkeep to come after this time, and returns when that is.
    pub(crate) fn schedule_tick(&mut self, after_ms: f64) -> f64 {
        self.next_tick_ms = self.now_ms + after_ms;
        self.next_tick_ms
    }

    /// When the next round of upkeep is scheduled.
    pub(crate) fn next_tick_ms(&self) -> f64 {
        self.next_tick_ms
    }

    /// Whether the next round of upkeep comes later than after this time.
    pub(crate) fn next_tick_is_beyond(&self, after_ms: f64) -> bool {
        self.next_tick_ms > self.now_ms + after_ms
    }
}
