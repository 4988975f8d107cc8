//! Tests of the rules on load: admission, the queue, the in-flight band, upkeep and the end of a request.
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

use super::is_close;
use crate::settings::PlanSettings;
use crate::tests::plan_builder::quota_plan;

/// A plan with a quota of 10 units per second and a burst of 40 units, without a concurrency limit, a ceiling
/// or use over the quota.
fn plan() -> PlanSettings {
    quota_plan(10.0, 40.0)
}
