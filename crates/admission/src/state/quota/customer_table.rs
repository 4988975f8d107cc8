//! The customers that a gateway knows, by key.
use crate::id::{CustomerKey, GatewayIndex};
use crate::settings::PlanSettings;
use crate::state::Customer;
use std::collections::{BTreeMap, BTreeSet};

/// The records of all customers that a gateway knows.
#[derive(Debug, Default)]
pub(crate) struct CustomerTable {
    /// Records by the customer's key.
    by_key: BTreeMap<CustomerKey, Customer>,
    /// Customers about which something is to be sent to peers.
    unreported: BTreeSet<CustomerKey>,
    /// When idle customers were last evicted, in ms.
    evicted_ms: f64,
}

impl CustomerTable {
    /// Returns a customer's record.
    pub(crate) fn get(&self, key: CustomerKey) -> Option<&Customer> {
        self.by_key.get(&key)
    }

    /// Returns a customer's record, mutably.
    pub(crate) fn get_mut(&mut self, key: CustomerKey) -> Option<&mut Customer> {
        self.by_key.get_mut(&key)
    }

    /// Returns a customer's record, which is created if there is none.
    pub(crate) fn get_or_insert(&mut self, key: CustomerKey, now_ms: f64) -> &mut Customer {
        self.by_key.entry(key).or_insert_with(|| Customer::new(now_ms))
    }

    /// Refills a customer's quota and ceiling for the time since the last refill.
    pub(crate) fn refill(&mut self, key: CustomerKey, plan: &PlanSettings, now_ms: f64) {
        if let Some(customer) = self.by_key.get_mut(&key) {
            customer.refill(plan, now_ms);
        }
    }

    /// Returns whether a customer's plan is known.
    pub(crate) fn knows_plan(&self, key: CustomerKey) -> bool {
        self.by_key.get(&key).is_some_and(|customer| customer.plan().is_some())
    }

    /// Schedules a customer's count for the next `rounds` rounds of reports to peers.
    pub(crate) fn schedule_report(&mut self, key: CustomerKey, rounds: u8) {
        if let Some(customer) = self.by_key.get_mut(&key) {
            customer.reports.schedule(rounds);
            self.unreported.insert(key);
        }
    }

    /// Schedules a request for units of a customer's ceiling from peers, for the next round.
    pub(crate) fn schedule_ceiling_request(&mut self, key: CustomerKey) {
        if let Some(customer) = self.by_key.get_mut(&key) {
            customer.reports.request_ceiling();
            self.unreported.insert(key);
        }
    }

    /// Takes units from a customer's ceiling and schedules their transfer to a peer, for the next round.
    pub(crate) fn schedule_ceiling_transfer(&mut self, key: CustomerKey, peer: GatewayIndex, units: f64) {
        if let Some(customer) = self.by_key.get_mut(&key) {
            customer.transfer_ceiling(peer, units);
            self.unreported.insert(key);
        }
    }

    /// Returns the customers about which something is to be sent to peers.
    pub(crate) fn unreported(&self) -> Vec<CustomerKey> {
        self.unreported.iter().copied().collect()
    }

    /// Records that nothing more is to be sent about a customer.
    pub(crate) fn mark_reported(&mut self, key: CustomerKey) {
        self.unreported.remove(&key);
    }

    /// Returns the number of known customers.
    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns the time since idle customers were last evicted, in ms.
    pub(crate) fn since_eviction_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.evicted_ms
    }

    /// Evicts the customers for which `is_evicted` returns true.
    pub(crate) fn evict(&mut self, now_ms: f64, is_evicted: impl Fn(&Customer) -> bool) {
        self.evicted_ms = now_ms;
        self.by_key.retain(|_, customer| !is_evicted(customer));
    }
}
