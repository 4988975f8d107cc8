//! Table tests of the rules under `policy`: each calls a rule with plain figures, as an engineer would with
//! the figures of one request from a log, and names the branch that decides.
mod endpoint_rules;
mod load_rules;
mod quota_rules;

use crate::settings::PlanSettings;

/// A plan with a quota of this rate and burst, without slots, ceiling or use beyond the quota.
fn quota_plan(rate_per_second: f64, burst_units: f64) -> PlanSettings {
    PlanSettings {
        rate_per_second,
        burst_units,
        open_limit: 0,
        plan_weight: 1.0,
        over_quota_value: 0.0,
        over_quota_cost: 1.0,
        ceiling_rate_per_second: 0.0,
        ceiling_burst_units: 0.0,
    }
}

/// Whether two figures are equal but for rounding.
fn is_close(left: f64, right: f64) -> bool {
    (left - right).abs() < 1e-9
}
