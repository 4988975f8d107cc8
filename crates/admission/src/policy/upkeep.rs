//! How often a gateway does its periodic work.
use crate::gateway::Gateway;

/// Time between two rounds of upkeep: short beside any latency objective, so that nothing is noticed late.
pub(crate) const UPKEEP_MS: f64 = 20.0;

/// Time between two looks at all endpoints in a large fleet, and between two rounds of upkeep there while the
/// gateway has no request. With many gateways and endpoints each look costs more.
const LARGE_FLEET_REVIEW_MS: f64 = 100.0;

/// Time between two evictions of idle customers.
const EVICTION_INTERVAL_MS: f64 = 1000.0;

impl Gateway {
    /// Time until the next round of upkeep.
    pub(crate) fn upkeep_interval_ms(&self) -> f64 {
        let idle = !self.coordination.is_broadcast() && self.requests.is_empty();
        if idle {
            LARGE_FLEET_REVIEW_MS
        } else {
            UPKEEP_MS
        }
    }

    /// Whether a large fleet's gateway is to look at all endpoints again.
    pub(crate) fn review_is_due(&self) -> bool {
        self.fleet_means.since_measured_ms(self.clock.now_ms()) >= LARGE_FLEET_REVIEW_MS
    }

    /// Whether idle customers are to be evicted again.
    pub(crate) fn eviction_is_due(&self) -> bool {
        self.customers.since_eviction_ms(self.clock.now_ms()) >= EVICTION_INTERVAL_MS
    }
}
