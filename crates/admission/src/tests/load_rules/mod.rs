//! Rules on load: admission, the queue, and the in-flight band.
mod band_position_rules;
mod counted_endpoint_rules;
mod customer_limit_rules;
mod deadline_rules;
mod dispatch_order_rules;
mod local_bucket_rules;
mod new_request_rules;
mod request_end_rules;
mod upkeep_rules;
mod watermark_rules;

use crate::settings::PlanSettings;

/// A plan of 10 units a second and bursts of 40, without open limit or ceiling, that does not pay beyond its
/// quota.
fn plan() -> PlanSettings {
    PlanSettings {
        rate_per_second: 10.0,
        burst_units: 40.0,
        open_limit: 0,
        plan_weight: 1.0,
        over_quota_value: 0.0,
        over_quota_cost: 1.0,
        ceiling_rate_per_second: 0.0,
        ceiling_burst_units: 0.0,
    }
}
