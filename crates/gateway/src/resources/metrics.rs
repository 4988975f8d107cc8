//! Counters of what the gateway has done since its start.
use std::cell::Cell;

/// A number of events since the start of the process.
#[derive(Debug, Default)]
pub(crate) struct Counter(Cell<u64>);

impl Counter {
    /// Counts one event.
    pub(crate) fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// Returns the number of events.
    pub(crate) fn get(&self) -> u64 {
        self.0.get()
    }
}

/// The counters of the process. Everything runs on one thread.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    /// Connections from clients that were accepted to serve or reject requests.
    pub connections_accepted: Counter,
    /// Connections that were evicted to make room for another.
    pub connections_evicted: Counter,
    /// Connections that were closed as soon as they were accepted, because no other could be evicted.
    pub connections_closed_at_limit: Counter,
    /// Connections that were closed because their clients did not read while other responses found no memory.
    pub connections_closed_unread: Counter,
    /// Connections that were closed because their first request had not completely arrived in time.
    pub first_request_timeouts: Counter,
    /// Requests that got the response of an endpoint.
    pub responses_served: Counter,
    /// Requests that were rejected.
    pub responses_rejected: Counter,
    /// Requests that failed, possibly after they had run.
    pub responses_failed: Counter,
    /// Requests that were invalid.
    pub requests_invalid: Counter,
    /// Requests that were rejected because there was no memory left for them.
    pub requests_rejected_for_memory: Counter,
    /// Requests whose client disconnected before the response.
    pub requests_disconnected: Counter,
    /// Attempts that were started.
    pub attempts: Counter,
    /// Attempts that ended without a good response. Cancelled ones are not counted.
    pub attempts_failed: Counter,
}

impl Metrics {
    /// Returns a number that grows with every connection, response and attempt.
    pub(super) fn events(&self) -> u64 {
        [
            &self.connections_accepted,
            &self.connections_closed_at_limit,
            &self.responses_served,
            &self.responses_rejected,
            &self.responses_failed,
            &self.requests_invalid,
            &self.requests_disconnected,
            &self.attempts,
        ]
        .iter()
        .map(|counter| counter.get())
        .sum()
    }
}
