//! The customers that a gateway knows, by key.
use crate::id::{CustomerKey, GatewayIndex};
use crate::settings::PlanSettings;
use crate::state::Customer;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// The records of all customers that a gateway knows.
#[derive(Debug, Default)]
pub(crate) struct CustomerTable {
    /// Records by the customer's key.
    /// They are boxed, because a node of the map has room for several of them and is often half empty.
    by_key: BTreeMap<CustomerKey, Box<Customer>>,
    /// Customers about which something is to be sent to peers.
    unreported: BTreeSet<CustomerKey>,
    /// When idle customers were last evicted, in ms.
    evicted_ms: f64,
    /// The customer after which the next search for one to evict begins; `None` at first.
    searched_until: Option<CustomerKey>,
}

impl CustomerTable {
    /// Returns a customer's record.
    pub(crate) fn get(&self, key: CustomerKey) -> Option<&Customer> {
        self.by_key.get(&key).map(Box::as_ref)
    }

    /// Returns a customer's record, mutably.
    pub(crate) fn get_mut(&mut self, key: CustomerKey) -> Option<&mut Customer> {
        self.by_key.get_mut(&key).map(Box::as_mut)
    }

    /// Returns a customer's record, which is created if there is none.
    pub(crate) fn get_or_insert(&mut self, key: CustomerKey, now_ms: f64) -> &mut Customer {
        self.by_key.entry(key).or_insert_with(|| Box::new(Customer::new(now_ms)))
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

    /// Returns whether a customer has a record.
    pub(crate) fn contains(&self, key: CustomerKey) -> bool {
        self.by_key.contains_key(&key)
    }

    /// Returns the next `count` customers for a search, in the order of their keys, which begins again after
    /// the last one.
    pub(crate) fn next_for_search(&mut self, count: usize) -> Vec<CustomerKey> {
        let after = self.searched_until.map_or(Bound::Unbounded, Bound::Excluded);
        let behind = self.by_key.range((after, Bound::Unbounded));
        let keys: Vec<CustomerKey> = behind.chain(&self.by_key).map(|(key, _)| *key).take(count).collect();
        self.searched_until = keys.last().copied();
        keys
    }

    /// Removes a customer's record.
    pub(crate) fn remove(&mut self, key: CustomerKey) {
        self.by_key.remove(&key);
        self.unreported.remove(&key);
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
