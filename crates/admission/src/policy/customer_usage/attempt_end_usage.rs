//! The change of a customer's usage at this gateway when an attempt ends.
use crate::state::QuotaState;

/// An attempt that has ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptEndInput {
    /// The state of the request's quota check.
    pub quota: QuotaState,
    /// Whether the plan has a quota, so that the customer has a token bucket.
    pub has_quota: bool,
    /// Whether the plan limits the attempts in flight.
    pub has_concurrency_limit: bool,
    /// Units that the request was estimated at.
    pub estimated_units: f64,
    /// Units that the request consumed, as the response reports them; `None` if it does not.
    pub true_units: Option<f64>,
    /// Most units that one request can consume, from the settings.
    pub max_units: f64,
}

/// The account to which the true units minus the estimated units are charged. A negative difference is a
/// refund.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ExcessCharge {
    /// The difference is charged to the customer's token bucket at this gateway.
    LocalBucket {
        /// True units minus estimated units.
        excess_units: f64,
    },
    /// The difference is added to the request's record, to be settled with the quota's owner or the quota
    /// counter.
    Request {
        /// True units minus estimated units.
        excess_units: f64,
    },
}

/// The change of a customer's usage at this gateway when an attempt ends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct AttemptEndUsage {
    /// Whether the attempt frees a slot that it took here.
    pub frees_slot: bool,
    /// The account to which the difference from the estimate is charged.
    pub charge: ExcessCharge,
    /// Whether the customer's counts are to be reported to the other gateways that its requests come through.
    pub triggers_report: bool,
}

/// Returns how the end of an attempt changes its customer's usage.
///
/// Guards against corrupt figures: no request consumes more than `max_units`, and a larger figure from an
/// endpoint would empty a customer's bucket for a long time. Such a figure is ignored.
pub(crate) fn usage_at_attempt_end(input: &AttemptEndInput) -> AttemptEndUsage {
    let counts_to_quota = input.quota.is_within_quota() && input.has_quota;
    let true_units = input.true_units.filter(|units| counts_to_quota && *units <= input.max_units);
    let excess_units = true_units.map_or(0.0, |units| units - input.estimated_units);
    let is_local_bucket = input.quota.is_local_bucket();
    let charge = if is_local_bucket {
        ExcessCharge::LocalBucket { excess_units }
    } else {
        ExcessCharge::Request { excess_units }
    };
    AttemptEndUsage {
        frees_slot: input.quota.holds_slot_here(),
        charge,
        triggers_report: is_local_bucket && (excess_units != 0.0 || input.has_concurrency_limit),
    }
}
