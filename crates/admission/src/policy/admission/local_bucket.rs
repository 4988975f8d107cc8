//! Checks a new request against its customer's token bucket at this gateway, in broadcast mode.
use crate::policy::over_quota_use::over_quota_use_is_worthwhile;
use crate::settings::PlanSettings;
use crate::state::LocalBucketCheck;

/// Time after its start during which a gateway withholds its peers' fraction of each burst, in ms. In this
/// time it has not yet received what peers consumed.
const BURST_WITHHOLDING_MS: f64 = 1000.0;

/// A new request and the token bucket of its customer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LocalBucketInput<'a> {
    /// The customer's plan.
    pub(crate) plan: &'a PlanSettings,
    /// Units that the request consumes.
    pub(crate) units: f64,
    /// Units in the quota's bucket.
    pub(crate) quota_tokens: f64,
    /// Units in the bucket of this gateway's fraction of the hard ceiling.
    pub(crate) ceiling_tokens: f64,
    /// Units that are reserved for the customer's queued requests.
    pub(crate) queued_units: f64,
    /// Units that are left to peers shortly after this gateway's start.
    pub(crate) withheld_units: f64,
}

/// Checks whether a new request is within its customer's quota, whether it may be sent even if it is not, and
/// when the bucket will have filled enough for it.
pub(crate) fn check_local_bucket(input: &LocalBucketInput) -> LocalBucketCheck {
    let plan = input.plan;
    let available_units = input.quota_tokens - input.queued_units - input.withheld_units;
    let has_ceiling_units = plan.ceiling_rate_per_second <= 0.0 || input.ceiling_tokens >= input.units;
    LocalBucketCheck {
        is_within_quota: plan.rate_per_second <= 0.0 || available_units >= input.units,
        may_exceed: over_quota_use_is_worthwhile(plan) && has_ceiling_units,
        retry_after_ms: plan.refill_time_ms(input.units - available_units),
    }
}

/// Returns the units of a burst that a gateway leaves to its peers: all but an even fraction shortly after
/// its start, none later. `gateways` is the number of gateways that the customer's requests come through.
pub(crate) fn withheld_burst_units(burst_units: f64, gateways: usize, since_start_ms: f64) -> f64 {
    if since_start_ms < BURST_WITHHOLDING_MS {
        burst_units * (1.0 - 1.0 / gateways as f64)
    } else {
        0.0
    }
}
