//! Counter mode: a gateway's calls in flight to the quota counter, and the fraction of requests for which it
//! calls the counter.
use crate::id::CustomerKey;
use std::collections::BTreeMap;

/// A gateway's calls to the quota counter, for all customers.
#[derive(Debug)]
pub(crate) struct CounterCalls {
    /// Fraction of the requests for which the counter is called, 0 to 1.
    sampling_fraction: f64,
    /// Customers with a call in flight, by the name of their count.
    in_flight: BTreeMap<u64, CustomerKey>,
}

impl CounterCalls {
    /// Creates a table without calls in flight, with all requests sampled.
    pub(crate) fn new() -> Self {
        CounterCalls { sampling_fraction: 1.0, in_flight: BTreeMap::new() }
    }

    /// Returns the fraction of the requests for which the counter is called, 0 to 1.
    pub(crate) fn sampling_fraction(&self) -> f64 {
        self.sampling_fraction
    }

    /// Sets the fraction of the requests for which the counter is called.
    pub(crate) fn set_sampling_fraction(&mut self, fraction: f64) {
        self.sampling_fraction = fraction;
    }

    /// Records that a call for a customer has started; `name` is the name of the customer's count.
    pub(crate) fn start(&mut self, name: u64, key: CustomerKey) {
        self.in_flight.insert(name, key);
    }

    /// Ends a call and returns the customer that it was for.
    pub(crate) fn complete(&mut self, name: u64) -> Option<CustomerKey> {
        self.in_flight.remove(&name)
    }
}
