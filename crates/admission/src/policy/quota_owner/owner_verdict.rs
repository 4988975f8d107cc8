//! The verdict of a quota's owner on a quota request. A customer's slots are those of its plan
//! (`PlanSettings::concurrency_limit`): a granted request takes one until it ends, however many attempts it
//! has.
use crate::messages::quota_message::QuotaVerdict;
use crate::policy::ample_quota::is_ample;
use crate::policy::over_quota_use::allows_over_quota;
use crate::policy::retry::ATTEMPT_TIMEOUT_OBJECTIVES;
use crate::settings::PlanSettings;

/// Maximum number of requests that wait at the owner, per slot of the plan.
const MAX_WAITING_PER_SLOT: usize = 4;

/// The state of a customer's quota at its owner when a quota request arrives.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OwnedQuota {
    /// Tokens of the quota, in units.
    pub(crate) quota_tokens: f64,
    /// Tokens of this gateway's fraction of the hard ceiling, in units.
    pub(crate) ceiling_tokens: f64,
    /// Number of requests that are granted and have not ended.
    pub(crate) granted_requests: usize,
    /// Number of requests that wait for a slot.
    pub(crate) waiting_requests: usize,
}

/// Decides on a new quota request for `units`. The hard ceiling is checked first, then the quota, then the
/// slots.
pub(crate) fn decide_quota_request(plan: &PlanSettings, owned: OwnedQuota, units: f64) -> QuotaVerdict {
    if plan.ceiling_rate_per_second > 0.0 && owned.ceiling_tokens < units {
        return QuotaVerdict::Refused;
    }
    if plan.rate_per_second > 0.0 && owned.quota_tokens < units {
        return if allows_over_quota(plan) { QuotaVerdict::OverQuotaAllowed } else { QuotaVerdict::Refused };
    }
    if plan.concurrency_limit == 0 || has_free_slot(plan, owned.granted_requests) {
        return QuotaVerdict::Granted;
    }
    if owned.waiting_requests < MAX_WAITING_PER_SLOT * plan.concurrency_limit as usize {
        QuotaVerdict::Queued
    } else {
        QuotaVerdict::Refused
    }
}

/// Returns whether a customer has fewer granted requests than slots; `false` if its plan has no slots.
pub(crate) fn has_free_slot(plan: &PlanSettings, granted_requests: usize) -> bool {
    granted_requests < plan.concurrency_limit as usize
}

/// Returns the verdict to respond with, given the quota tokens left after it is applied. A grant from an
/// ample quota becomes `GrantedAmple`, which tells the sender that the true units need not be reported.
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

/// Returns the time between the end of the time for which a request may wait and the expiry of its grant, in
/// ms: as long as an attempt may take.
///
/// Guards against a lost release, after which a slot would stay occupied forever.
pub(crate) fn grant_extension_ms(longest_objective_ms: f64) -> f64 {
    ATTEMPT_TIMEOUT_OBJECTIVES * longest_objective_ms
}
