//! How customers are entered into the records and evicted from them.
use crate::gateway::Gateway;
use crate::id::{CustomerId, CustomerTag, PlanIndex};
use crate::mechanism::splitmix64::short_tag;
use crate::policy::coordination::idle_limit_ms;
use crate::state::{Customer, GatewaySet};

impl Gateway {
    /// The key of a customer in the records.
    pub(crate) fn customer_tag(&self, customer: CustomerId) -> CustomerTag {
        if self.coordination.is_broadcast() {
            CustomerTag::from_short(short_tag(customer.0))
        } else {
            CustomerTag(customer.0)
        }
    }

    /// The record of a customer whose request came in through these gateways, brought up to now and made
    /// where there is none.
    pub(crate) fn customer_entry(
        &mut self,
        tag: CustomerTag,
        plan: PlanIndex,
        gateways: GatewaySet,
    ) -> &mut Customer {
        let now_ms = self.clock.now_ms();
        if !self.customers.knows_plan(tag) {
            let ceiling_fraction = self.ceiling_fraction(tag, &gateways);
            let uptime_s = self.clock.since_start_ms() / 1000.0;
            let customer = self.customers.get_or_insert(tag, now_ms);
            customer.set_plan(plan, self.settings.plan(plan), ceiling_fraction, uptime_s, now_ms);
        }
        let customer = self.customers.get_or_insert(tag, now_ms);
        customer.touch(gateways, now_ms);
        customer.refill(self.settings.plan(plan), now_ms);
        customer
    }

    /// Forgets idle customers, so that one-off customers leave nothing behind.
    pub(crate) fn evict_idle_customers(&mut self) {
        if !self.coordination.is_broadcast() {
            self.customers.clear_unreported();
        }
        let customers = self.customers.len();
        let settings = &self.settings;
        let limit_ms = |plan: Option<PlanIndex>| idle_limit_ms(plan.map(|p| settings.plan(p)), customers);
        self.customers.evict_idle(self.clock.now_ms(), limit_ms);
    }
}
