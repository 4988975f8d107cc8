//! Quota requests that this gateway sent to owners and that wait for a response.
use crate::id::RequestId;
use std::collections::BTreeMap;

/// Numbers of quota requests have 12 bits in messages.
const NUMBER_MASK: u32 = 0xfff;

/// Who decides on a request's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuotaRoute {
    /// The owner is asked.
    AskOwner,
    /// This gateway decides alone, whether the customer is likely within its quota or not.
    DecideAlone { likely_within: bool },
}

/// Quota requests that wait for a response, by their number.
#[derive(Debug, Default)]
pub(crate) struct QuotaRequests {
    pending: BTreeMap<u32, RequestId>,
    next_number: u32,
}

impl QuotaRequests {
    /// The number that the next new quota request gets.
    pub(crate) fn next_number(&self) -> u32 {
        self.next_number
    }

    /// Enters a quota request that is sent, whether with a new number or again with an old one.
    pub(crate) fn insert(&mut self, number: u32, request: RequestId) {
        if number == self.next_number {
            self.next_number = (number + 1) & NUMBER_MASK;
        }
        self.pending.insert(number, request);
    }

    /// The request that a quota request was sent for.
    pub(crate) fn get(&self, number: u32) -> Option<RequestId> {
        self.pending.get(&number).copied()
    }

    /// Takes out a quota request that no response is awaited for.
    pub(crate) fn remove(&mut self, number: u32) {
        self.pending.remove(&number);
    }

    /// The requests that a response is awaited for, in the order of their numbers.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.pending.values().copied()
    }
}

/// Calls to the shared counter that are in flight.
#[derive(Debug)]
pub(crate) struct CounterCalls {
    /// Fraction of the requests that the counter is called for, 0 to 1.
    pub(crate) sampling_fraction: f64,
    /// Customers with a call in flight, by the name of their count.
    pub(crate) in_flight: BTreeMap<u64, u64>,
}

impl Default for CounterCalls {
    fn default() -> Self {
        CounterCalls { sampling_fraction: 1.0, in_flight: BTreeMap::new() }
    }
}
