//! The event queue of a simulation, in the order of the events' times.
use std::collections::BTreeMap;

/// The position of an event in the queue. Events of the same time are in the order in which they were
/// scheduled.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at_us: u64,
    number: u64,
}

/// Events that are due later. Each event takes a number, and other objects such as requests take theirs by
/// `next_number`, so that no number is used twice.
pub(crate) struct EventQueue<T> {
    last_number: u64,
    events: BTreeMap<EventKey, T>,
}

impl<T> EventQueue<T> {
    pub(crate) fn new() -> Self {
        EventQueue { last_number: 0, events: BTreeMap::new() }
    }

    /// Returns a number that the queue has not given before.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Adds an event that is due at `at_ms`.
    pub(crate) fn schedule(&mut self, at_ms: f64, event: T) {
        let number = self.next_number();
        self.events.insert(EventKey { at_us: (at_ms * 1000.0) as u64, number }, event);
    }

    /// Removes the first event that is due by `end_ms`, and returns it with its time in ms.
    pub(crate) fn pop_until(&mut self, end_ms: f64) -> Option<(f64, T)> {
        let entry = self.events.first_entry()?;
        let at_ms = entry.key().at_us as f64 / 1000.0;
        (at_ms <= end_ms).then(|| (at_ms, entry.remove()))
    }
}
