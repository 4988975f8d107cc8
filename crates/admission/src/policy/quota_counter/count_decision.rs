//! A gateway's decision on a request in counter mode, from the customer's count.
use crate::policy::ample_quota::is_ample;
use crate::policy::over_quota_use::allows_over_quota;
use crate::settings::PlanSettings;
use crate::state::QuotaState;

/// Decides on a request of `units`, given the tokens that the customer had before it.
pub(crate) fn decide_by_count(plan: &PlanSettings, units: f64, tokens: f64) -> QuotaState {
    if tokens >= units {
        QuotaState::AdmittedByCounter { ample: is_ample(tokens, plan.burst_units) }
    } else {
        decide_over_quota(plan)
    }
}

/// Decides on a request over the quota. If its plan allows use over the quota, it may still be sent while
/// there is capacity. Under a hard ceiling it is not, because no gateway knows how much of the ceiling the
/// others spent.
pub(crate) fn decide_over_quota(plan: &PlanSettings) -> QuotaState {
    let may_exceed = allows_over_quota(plan) && plan.ceiling_rate_per_second <= 0.0;
    QuotaState::OverQuota { may_exceed }
}

/// Returns whether a customer cannot have enough tokens for a request, so that no call to the counter is
/// needed. `tokens_at_most` is the most tokens that the customer can have according to the counter's last
/// reply, or `None` before the first reply.
pub(crate) fn is_certainly_over_quota(tokens_at_most: Option<f64>, units: f64) -> bool {
    tokens_at_most.is_some_and(|tokens| tokens < units)
}

/// Returns the tokens to assume when the counter returned no total: the most that the customer can have
/// according to the last reply, or a full burst before the first reply. Most customers are well within their
/// quota, and one that was last seen over it stays over it until the rate has added enough tokens.
pub(crate) fn assumed_tokens(burst_units: f64, tokens_at_most: Option<f64>) -> f64 {
    tokens_at_most.unwrap_or(burst_units)
}
