//! Whether a plan pays for use over its quota.
use crate::settings::PlanSettings;

/// Whether a request over the quota earns more than it costs. Plans with an open limit permit none.
pub(crate) fn pays_over_quota(plan: &PlanSettings) -> bool {
    plan.over_quota_value > plan.over_quota_cost && plan.concurrency_limit == 0
}
