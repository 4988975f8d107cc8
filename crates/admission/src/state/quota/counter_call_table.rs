//! Counter mode: which calls to the shared counter are in flight, and for which requests it is called.
use crate::id::CustomerTag;
use std::collections::BTreeMap;

/// A gateway's calls to the shared counter.
#[derive(Debug)]
pub(crate) struct CounterCalls {
    /// Fraction of the requests that the counter is called for, 0 to 1.
    sampling_fraction: f64,
    /// Customers with a call in flight, by the name of their count.
    in_flight: BTreeMap<u64, CustomerTag>,
}

impl CounterCalls {
    /// No calls in flight, and all requests sampled.
    pub(crate) fn new() -> Self {
        CounterCalls { sampling_fraction: 1.0, in_flight: BTreeMap::new() }
    }

    /// Fraction of the requests that the counter is called for, 0 to 1.
    pub(crate) fn sampling_fraction(&self) -> f64 {
        self.sampling_fraction
    }

    /// Sets the fraction of the requests that the counter is called for.
    pub(crate) fn set_sampling_fraction(&mut self, fraction: f64) {
        self.sampling_fraction = fraction;
    }

    /// Records a call for a customer.
    pub(crate) fn start(&mut self, name: u64, tag: CustomerTag) {
        self.in_flight.insert(name, tag);
    }

    /// Ends a call, and returns the customer that it was for.
    pub(crate) fn complete(&mut self, name: u64) -> Option<CustomerTag> {
        self.in_flight.remove(&name)
    }
}
