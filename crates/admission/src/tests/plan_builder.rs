//! Plans for table tests.
use crate::settings::PlanSettings;

/// Returns a plan with a quota, but without a concurrency limit, a ceiling or worthwhile use over the quota.
pub(crate) fn quota_plan(rate_per_second: f64, burst_units: f64) -> PlanSettings {
    PlanSettings {
        rate_per_second,
        burst_units,
        concurrency_limit: 0,
        plan_weight: 1.0,
        over_quota_value: 0.0,
        over_quota_cost: 1.0,
        ceiling_rate_per_second: 0.0,
        ceiling_burst_units: 0.0,
    }
}

/// Returns a plan with a quota, under which use over the quota is worth more than it costs.
pub(crate) fn paying_plan(rate_per_second: f64, burst_units: f64) -> PlanSettings {
    PlanSettings { over_quota_value: 0.5, over_quota_cost: 0.2, ..quota_plan(rate_per_second, burst_units) }
}
