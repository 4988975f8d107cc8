//! What the owner of a customer's quota decides on a quota request.
use crate::messages::quota_message::QuotaVerdict;
use crate::policy::ample_quota::is_ample;
use crate::policy::over_quota_use::pays_over_quota;
use crate::policy::retry::ATTEMPT_TIMEOUT_OBJECTIVES;
use crate::settings::PlanSettings;

/// Requests that may wait at the owner for each slot of the plan.
const MAX_WAITING_PER_SLOT: usize = 4;

/// What the owner knows of a customer when a quota request comes in.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OwnedQuota {
    /// Units that the quota's token bucket has.
    pub(crate) quota_tokens: f64,
    /// Units that this gateway's fraction of the hard ceiling has.
    pub(crate) ceiling_tokens: f64,
    /// Requests that are granted and have not ended.
    pub(crate) granted_requests: usize,
    /// Requests that wait for a slot.
    pub(crate) waiting_requests: usize,
}

/// Decides on a new quota request of these units, by ceiling, quota and slots in this order.
pub(crate) fn decide_quota_request(plan: &PlanSettings, owned: OwnedQuota, units: f64) -> QuotaVerdict {
    if plan.ceiling_rate_per_second > 0.0 && owned.ceiling_tokens < units {
        return QuotaVerdict::OverQuota;
    }
    if plan.rate_per_second > 0.0 && owned.quota_tokens < units {
        return if pays_over_quota(plan) { QuotaVerdict::OverQuotaAllowed } else { QuotaVerdict::OverQuota };
    }
    if plan.concurrency_limit == 0 || has_free_slot(plan, owned.granted_requests) {
        return QuotaVerdict::Granted;
    }
    if owned.waiting_requests < MAX_WAITING_PER_SLOT * plan.concurrency_limit as usize {
        QuotaVerdict::Queued
    } else {
        QuotaVerdict::OverQuota
    }
}

/// Whether a customer has fewer requests granted than slots; never in a plan without slots.
pub(crate) fn has_free_slot(plan: &PlanSettings, granted_requests: usize) -> bool {
    granted_requests < plan.concurrency_limit as usize
}

/// The verdict to respond with, given the tokens that are left once it is applied: a grant from an ample
/// quota says that the true units need not be reported.
pub(crate) fn verdict_to_send(
    plan: &PlanSettings,
    verdict: QuotaVerdict,
    quota_tokens_left: f64,
) -> QuotaVerdict {
    let counts_units_only = plan.rate_per_second > 0.0 && plan.concurrency_limit == 0;
    match verdict {
        QuotaVerdict::Granted if counts_units_only && is_ample(quota_tokens_left, plan.burst_units) => {
            QuotaVerdict::GrantedAmple
        }
        verdict => verdict,
    }
}

/// How long a grant counts beyond the time that its request may wait: as long as an attempt may take. In ms.
///
/// Guards against a lost release, after which a slot would stay taken for ever.
pub(crate) fn grant_lifetime_ms(longest_objective_ms: f64) -> f64 {
    ATTEMPT_TIMEOUT_OBJECTIVES * longest_objective_ms
}
