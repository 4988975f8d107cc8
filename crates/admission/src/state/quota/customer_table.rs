//! The customers that a gateway knows, by tag.
use crate::id::{CustomerKey, GatewayIndex};
use crate::settings::PlanSettings;
use crate::state::Customer;
use std::collections::{BTreeMap, BTreeSet};

/// The records of all customers that a gateway knows.
#[derive(Debug, Default)]
pub(crate) struct CustomerTable {
    /// Records by the customer's tag.
    by_tag: BTreeMap<CustomerKey, Customer>,
    /// Customers about which something is to be sent to peers.
    unreported: BTreeSet<CustomerKey>,
    /// When idle customers were last evicted, in ms.
    evicted_ms: f64,
}

impl CustomerTable {
    /// Returns a customer's record.
    pub(crate) fn get(&self, tag: CustomerKey) -> Option<&Customer> {
        self.by_tag.get(&tag)
    }

    /// Returns a customer's record, mutably.
    pub(crate) fn get_mut(&mut self, tag: CustomerKey) -> Option<&mut Customer> {
        self.by_tag.get_mut(&tag)
    }

    /// Returns a customer's record, which is created if there is none.
    pub(crate) fn get_or_insert(&mut self, tag: CustomerKey, now_ms: f64) -> &mut Customer {
        self.by_tag.entry(tag).or_insert_with(|| Customer::new(now_ms))
    }

    /// Refills a customer's quota and ceiling for the time since the last refill.
    pub(crate) fn refill(&mut self, tag: CustomerKey, plan: &PlanSettings, now_ms: f64) {
        if let Some(customer) = self.by_tag.get_mut(&tag) {
            customer.refill(plan, now_ms);
        }
    }

    /// Returns whether a customer's plan is known.
    pub(crate) fn knows_plan(&self, tag: CustomerKey) -> bool {
        self.by_tag.get(&tag).is_some_and(|customer| customer.plan().is_some())
    }

    /// Schedules a customer's count for the next `rounds` rounds of reports to peers.
    pub(crate) fn schedule_report(&mut self, tag: CustomerKey, rounds: u8) {
        if let Some(customer) = self.by_tag.get_mut(&tag) {
            customer.reports.schedule(rounds);
            self.unreported.insert(tag);
        }
    }

    /// Schedules a request for units of a customer's ceiling from peers, for the next round.
    pub(crate) fn schedule_ceiling_request(&mut self, tag: CustomerKey) {
        if let Some(customer) = self.by_tag.get_mut(&tag) {
            customer.reports.request_ceiling();
            self.unreported.insert(tag);
        }
    }

    /// Takes units from a customer's ceiling and schedules their transfer to a peer, for the next round.
    pub(crate) fn schedule_ceiling_transfer(&mut self, tag: CustomerKey, peer: GatewayIndex, units: f64) {
        if let Some(customer) = self.by_tag.get_mut(&tag) {
            customer.transfer_ceiling(peer, units);
            self.unreported.insert(tag);
        }
    }

    /// Returns the customers about which something is to be sent to peers.
    pub(crate) fn unreported(&self) -> Vec<CustomerKey> {
        self.unreported.iter().copied().collect()
    }

    /// Records that nothing more is to be sent about a customer.
    pub(crate) fn mark_reported(&mut self, tag: CustomerKey) {
        self.unreported.remove(&tag);
    }

    /// Returns the number of known customers.
    pub(crate) fn len(&self) -> usize {
        self.by_tag.len()
    }

    /// Returns the time since idle customers were last evicted, in ms.
    pub(crate) fn since_eviction_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.evicted_ms
    }

    /// Evicts the customers for which `is_evicted` returns true.
    pub(crate) fn evict(&mut self, now_ms: f64, is_evicted: impl Fn(&Customer) -> bool) {
        self.evicted_ms = now_ms;
        self.by_tag.retain(|_, customer| !is_evicted(customer));
    }
}
