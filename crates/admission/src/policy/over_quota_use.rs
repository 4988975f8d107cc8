//! Whether a request over the quota of its plan is worth sending.
use crate::settings::PlanSettings;

/// Returns whether a request over the quota is worth more than it costs. Under a plan with a concurrency
/// limit no request may exceed the quota.
pub(crate) fn over_quota_use_is_worthwhile(plan: &PlanSettings) -> bool {
    plan.over_quota_value > plan.over_quota_cost && plan.concurrency_limit == 0
}
