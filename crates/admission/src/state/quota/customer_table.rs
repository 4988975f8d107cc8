//! The customers that a gateway knows, by tag.
use crate::id::{CustomerTag, GatewayIndex};
use crate::settings::PlanSettings;
use crate::state::Customer;
use std::collections::{BTreeMap, BTreeSet};

/// What is known of customers, by tag.
#[derive(Debug, Default)]
pub(crate) struct CustomerTable {
    /// Their records.
    by_tag: BTreeMap<CustomerTag, Customer>,
    /// Customers of which something is to be sent to peers.
    unreported: BTreeSet<CustomerTag>,
    /// When idle customers were last evicted.
    evicted_ms: f64,
}

impl CustomerTable {
    /// A customer's record.
    pub(crate) fn get(&self, tag: CustomerTag) -> Option<&Customer> {
        self.by_tag.get(&tag)
    }

    /// A customer's record, to be changed.
    pub(crate) fn get_mut(&mut self, tag: CustomerTag) -> Option<&mut Customer> {
        self.by_tag.get_mut(&tag)
    }

    /// A customer's record, made where there is none.
    pub(crate) fn get_or_insert(&mut self, tag: CustomerTag, now_ms: f64) -> &mut Customer {
        self.by_tag.entry(tag).or_insert_with(|| Customer::new(now_ms))
    }

    /// Refills a customer's quota and ceiling for the time since the last refill.
    pub(crate) fn refill(&mut self, tag: CustomerTag, plan: &PlanSettings, now_ms: f64) {
        if let Some(customer) = self.by_tag.get_mut(&tag) {
            customer.refill(plan, now_ms);
        }
    }

    /// Whether a customer's plan is known.
    pub(crate) fn knows_plan(&self, tag: CustomerTag) -> bool {
        self.by_tag.get(&tag).is_some_and(|customer| customer.plan().is_some())
    }

    /// Has a customer's count sent to peers in the next rounds.
    pub(crate) fn schedule_report(&mut self, tag: CustomerTag, rounds: u8) {
        if let Some(customer) = self.by_tag.get_mut(&tag) {
            customer.reports.schedule(rounds);
            self.unreported.insert(tag);
        }
    }

    /// Has the next round request units of a customer's ceiling from peers.
    pub(crate) fn schedule_ceiling_request(&mut self, tag: CustomerTag) {
        if let Some(customer) = self.by_tag.get_mut(&tag) {
            customer.reports.request_ceiling();
            self.unreported.insert(tag);
        }
    }

    /// Takes units of a customer's ceiling for a peer, to be sent in the next round.
    pub(crate) fn schedule_ceiling_transfer(&mut self, tag: CustomerTag, peer: GatewayIndex, units: f64) {
        if let Some(customer) = self.by_tag.get_mut(&tag) {
            customer.transfer_ceiling(peer, units);
            self.unreported.insert(tag);
        }
    }

    /// Customers of which something is to be sent to peers.
    pub(crate) fn unreported(&self) -> Vec<CustomerTag> {
        self.unreported.iter().copied().collect()
    }

    /// Nothing more of a customer is to be sent.
    pub(crate) fn mark_reported(&mut self, tag: CustomerTag) {
        self.unreported.remove(&tag);
    }

    /// How many customers are known.
    pub(crate) fn len(&self) -> usize {
        self.by_tag.len()
    }

    /// Time since idle customers were last evicted.
    pub(crate) fn since_eviction_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.evicted_ms
    }

    /// Evicts the customers for which `is_evicted` holds.
    pub(crate) fn evict(&mut self, now_ms: f64, is_evicted: impl Fn(&Customer) -> bool) {
        self.evicted_ms = now_ms;
        self.by_tag.retain(|_, customer| !is_evicted(customer));
    }
}
