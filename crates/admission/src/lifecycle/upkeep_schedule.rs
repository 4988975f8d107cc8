//! Decides when periodic work is due.
use crate::gateway::Gateway;
use crate::policy::upkeep::{
    eviction_is_due, review_is_due, upkeep_interval_ms_in_broadcast_mode, upkeep_interval_ms_in_large_fleet,
    upkeep_is_due,
};
use crate::state::FleetMode;

impl Gateway {
    /// Returns the time until the next round of upkeep, in milliseconds.
    pub(crate) fn upkeep_interval_ms(&self) -> f64 {
        match self.coordination.fleet_mode() {
            FleetMode::Broadcast => upkeep_interval_ms_in_broadcast_mode(),
            FleetMode::LargeFleet => upkeep_interval_ms_in_large_fleet(!self.requests.is_empty()),
        }
    }

    /// Returns whether the scheduled round of upkeep is due.
    pub(crate) fn upkeep_is_due(&self) -> bool {
        upkeep_is_due(self.clock.now_ms(), self.clock.next_upkeep_ms())
    }

    /// Returns whether the next review of all endpoints is due, in a large fleet. A review detects a
    /// correlated failure and updates the fleet means. The second part ends it, because the time of the last
    /// review is that of the last update of the means.
    pub(crate) fn review_is_due(&self) -> bool {
        review_is_due(self.fleet_means.since_own_applied_ms(self.clock.now_ms()))
    }

    /// Returns whether the next eviction of idle customers is due.
    pub(crate) fn eviction_is_due(&self) -> bool {
        eviction_is_due(self.customers.since_eviction_ms(self.clock.now_ms()))
    }
}
