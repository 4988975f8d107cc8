//! What a gateway decides on a request by the customer's count.
use crate::policy::ample_quota::is_ample;
use crate::policy::over_quota_use::pays_over_quota;
use crate::settings::PlanSettings;
use crate::state::QuotaState;

/// Decides on a request of these units, given the customer's tokens before it.
pub(crate) fn decide_by_count(plan: &PlanSettings, units: f64, tokens: f64) -> QuotaState {
    if tokens >= units {
        QuotaState::AdmittedByCounter { ample: is_ample(tokens, plan.burst_units) }
    } else {
        decide_over_quota(plan)
    }
}

/// Decides on a request over the quota: where its plan pays for that, it may still be sent while there is
/// capacity. Under a hard ceiling it is not, since no gateway knows how much of the ceiling the others spent.
pub(crate) fn decide_over_quota(plan: &PlanSettings) -> QuotaState {
    let may_exceed = pays_over_quota(plan) && plan.ceiling_rate_per_second <= 0.0;
    QuotaState::OverQuota { may_exceed }
}

/// Whether a customer cannot have the units of a request, so that no call to the counter is needed.
/// `tokens_at_most` is the most that the customer can have by the last reply; `None`: no reply yet.
pub(crate) fn is_surely_over_quota(tokens_at_most: Option<f64>, units: f64) -> bool {
    tokens_at_most.is_some_and(|tokens| tokens < units)
}

/// Tokens to assume where the counter gave no total. Most customers are well inside their quota, and a
/// customer last seen over it stays over it until the rate has brought enough.
pub(crate) fn assumed_tokens(burst_units: f64, tokens_at_most: Option<f64>) -> f64 {
    tokens_at_most.unwrap_or(burst_units)
}
