//! Decides whether a plan allows use over its quota.
use crate::settings::PlanSettings;

/// Returns whether a plan's requests may exceed the quota. They may if a request over the quota is worth more
/// to the operator than it costs, and if the plan has no concurrency limit.
pub(crate) fn allows_over_quota(plan: &PlanSettings) -> bool {
    plan.over_quota_value > plan.over_quota_cost && plan.concurrency_limit == 0
}
