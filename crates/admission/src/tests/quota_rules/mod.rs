//! Rules on quotas, and on the messages and calls by which gateways agree on them.
mod counter_rules;
mod message_bounds;
mod owner_rules;
mod peer_message_rules;
mod retention_rules;

use super::{is_close, quota_plan};
use crate::settings::PlanSettings;

/// A plan with a quota, where use beyond the quota earns more than it costs.
fn paying_plan(rate_per_second: f64, burst_units: f64) -> PlanSettings {
    PlanSettings { over_quota_value: 0.5, over_quota_cost: 0.2, ..quota_plan(rate_per_second, burst_units) }
}
