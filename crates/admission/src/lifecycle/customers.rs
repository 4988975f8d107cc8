//! Creates, updates and evicts the records of customers.
use crate::gateway::Gateway;
use crate::id::{CustomerId, CustomerKey, PlanIndex};
use crate::mechanism::splitmix64::short_tag;
use crate::policy::customer_retention::{
    eviction_rank, idle_limit_ms, is_evicted, EvictionInput, EvictionRank, DEFAULT_MAX_CUSTOMERS,
    EVICTION_SAMPLE,
};
use crate::policy::peer_messages::report_schedule::REPORT_ROUNDS;
use crate::policy::quota_owner::ceiling_fraction::{ceiling_fraction_by_ranking, even_ceiling_fraction};
use crate::settings::PlanSettings;
use crate::state::{Coordination, Customer, FleetMode, GatewaySet};

impl Gateway {
    /// Returns the number of customers with a record, which shows how much memory the records take.
    #[must_use]
    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }

    /// Returns the key of a customer in the records.
    pub(crate) fn customer_key(&self, customer: CustomerId) -> CustomerKey {
        match self.coordination.fleet_mode() {
            FleetMode::Broadcast => CustomerKey::from_tag(short_tag(customer.0)),
            FleetMode::LargeFleet => CustomerKey(customer.0),
        }
    }

    /// Records a request of a customer: one that this gateway received, one about which it asks the owner
    /// again, or one for which a peer sent a quota request. Creates the customer's record if there is none,
    /// sets the plan if it isn't known, refills the token buckets up to now and returns the record.
    /// `gateways` are those that the customer's requests come through.
    pub(crate) fn record_customer_request(
        &mut self,
        key: CustomerKey,
        plan: PlanIndex,
        gateways: GatewaySet,
    ) -> &mut Customer {
        self.record_customer_request_with_plan(key, plan, gateways).0
    }

    /// Records a request as `record_customer_request` does, and returns the customer's record and plan.
    pub(crate) fn record_customer_request_with_plan(
        &mut self,
        key: CustomerKey,
        plan: PlanIndex,
        gateways: GatewaySet,
    ) -> (&mut Customer, &PlanSettings) {
        let now_ms = self.clock.now_ms();
        if !self.customers.knows_plan(key) {
            let ceiling_fraction = self.ceiling_fraction(key, &gateways);
            let uptime_s = self.clock.since_start_ms() / 1000.0;
            let customer = self.customers.get_or_insert(key, now_ms);
            customer.set_plan(plan, self.settings.plan(plan), ceiling_fraction, uptime_s, now_ms);
        }
        let plan = self.settings.plan(plan);
        let customer = self.customers.get_or_insert(key, now_ms);
        customer.record_request(gateways, now_ms);
        customer.refill(plan, now_ms);
        (customer, plan)
    }

    /// Returns whether a customer has a record, or one may be created. If there are as many records as there
    /// may be, evicts one that can be spared; there may be none.
    pub(crate) fn has_room_for_customer(&mut self, key: CustomerKey) -> bool {
        let max_customers = self.settings.max_customers.unwrap_or(DEFAULT_MAX_CUSTOMERS);
        if self.customers.contains(key) || self.customers.len() < max_customers {
            return true;
        }
        let mut best: Option<(EvictionRank, CustomerKey)> = None;
        for candidate in self.customers.next_for_search(EVICTION_SAMPLE) {
            if let Some(rank) = self.eviction_input(candidate).as_ref().and_then(eviction_rank) {
                if best.is_none_or(|(best_rank, _)| rank > best_rank) {
                    best = Some((rank, candidate));
                }
            }
        }
        let Some((_, spared)) = best else { return false };
        self.customers.remove(spared);
        true
    }

    /// Returns what decides whether a customer's record can be spared; `None` if there is no such record.
    fn eviction_input(&self, key: CustomerKey) -> Option<EvictionInput> {
        let customer = self.customers.get(key)?;
        let now_ms = self.clock.now_ms();
        let uptime_s = self.clock.since_start_ms() / 1000.0;
        let plan = customer.plan().map(|p| self.settings.plan(p));
        Some(EvictionInput {
            is_in_use: customer.is_in_use(now_ms) || self.queue.has_requests_of(key),
            has_full_buckets: plan.is_some_and(|plan| customer.has_full_buckets(plan, uptime_s, now_ms)),
            has_consumed: customer.reports.consumed_units() != 0.0,
            has_ceiling: plan.is_some_and(|plan| plan.ceiling_rate_per_second > 0.0),
            idle_ms: customer.idle_ms(now_ms),
        })
    }

    /// Returns this gateway's fraction of a customer's hard ceiling.
    fn ceiling_fraction(&self, key: CustomerKey, gateways: &GatewaySet) -> f64 {
        match self.coordination {
            Coordination::Gossip(_) => ceiling_fraction_by_ranking(
                gateways.len(),
                gateways.ranking_position(key, self.settings.this_gateway),
            ),
            Coordination::Broadcast(_) | Coordination::Counter(_) | Coordination::Isolated => {
                even_ceiling_fraction(gateways.len())
            }
        }
    }

    /// Schedules reports of a customer's count to the customer's other gateways. Does nothing in a large
    /// fleet, where gateways do not report counts.
    pub(crate) fn schedule_report(&mut self, key: CustomerKey) {
        match self.coordination.fleet_mode() {
            FleetMode::Broadcast => self.customers.schedule_report(key, REPORT_ROUNDS),
            FleetMode::LargeFleet => {}
        }
    }

    /// Schedules a request to peers for units of a customer's ceiling. Does nothing in a large fleet, where
    /// peers cannot give any.
    pub(crate) fn schedule_ceiling_request(&mut self, key: CustomerKey) {
        match self.coordination.fleet_mode() {
            FleetMode::Broadcast => self.customers.schedule_ceiling_request(key),
            FleetMode::LargeFleet => {}
        }
    }

    /// Evicts idle customers, so that customers that do not return do not accumulate in memory.
    pub(crate) fn evict_idle_customers(&mut self) {
        let now_ms = self.clock.now_ms();
        let settings = &self.settings;
        self.customers.evict(now_ms, |customer| {
            let plan = customer.plan().map(|p| settings.plan(p));
            is_evicted(customer.in_flight(), customer.idle_ms(now_ms), idle_limit_ms(plan))
        });
    }
}
