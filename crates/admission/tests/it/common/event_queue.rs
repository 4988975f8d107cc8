//! The clock of a simulation: events in the order of their time, and of their number at the same time.
use std::collections::BTreeMap;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueTime {
    at_us: u64,
    number: u64,
}

/// Events that are due later. Its numbers also serve as request ids, so that each is given once.
pub(crate) struct EventQueue<T> {
    last_number: u64,
    due: BTreeMap<DueTime, T>,
}

impl<T> EventQueue<T> {
    pub(crate) fn new() -> Self {
        EventQueue { last_number: 0, due: BTreeMap::new() }
    }

    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    pub(crate) fn schedule(&mut self, at_ms: f64, event: T) {
        let number = self.next_number();
        self.due.insert(DueTime { at_us: (at_ms * 1000.0) as u64, number }, event);
    }

    /// Takes out the first event that is due by `end_ms`, with its time in milliseconds.
    pub(crate) fn pop_until(&mut self, end_ms: f64) -> Option<(f64, T)> {
        let entry = self.due.first_entry()?;
        let at_ms = entry.key().at_us as f64 / 1000.0;
        (at_ms <= end_ms).then(|| (at_ms, entry.remove()))
    }
}
