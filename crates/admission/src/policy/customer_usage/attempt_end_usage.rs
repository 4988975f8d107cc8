//! What the end of an attempt changes in its customer's limits.
use crate::state::QuotaState;

/// What decides what the end of an attempt changes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptEndInput {
    /// Where its request stands with the quota.
    pub quota: QuotaState,
    /// Its plan has a rate, so that the customer has a token bucket.
    pub has_quota: bool,
    /// Its plan limits the attempts in flight.
    pub has_open_limit: bool,
    /// Units that the request was estimated at.
    pub estimated_units: f64,
    /// Units that the response gives, if it does.
    pub true_units: Option<f64>,
    /// Most units that one request counts, from the settings.
    pub max_units: f64,
}

/// Where the units are charged by which the true figure exceeds the estimate; below 0 they go back.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ExcessCharge {
    /// To the token bucket here.
    LocalBucket {
        /// The units.
        excess_units: f64,
    },
    /// To the request's record, for the quota's owner or the counter.
    Request {
        /// The units.
        excess_units: f64,
    },
}

/// What the end of an attempt changes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct AttemptEndUsage {
    /// It frees the slot that it took here.
    pub frees_slot: bool,
    /// Where the difference from the estimate is charged.
    pub charge: ExcessCharge,
    /// The customer's counts are reported to its other gateways.
    pub triggers_report: bool,
}

/// What the end of an attempt changes.
///
/// Guards against corrupt figures: no request counts more than `max_units`, and a larger figure from an
/// endpoint would empty a customer's bucket for a long time. Such a figure counts as none.
pub(crate) fn usage_at_attempt_end(input: &AttemptEndInput) -> AttemptEndUsage {
    let has_quota = input.quota.is_within_quota() && input.has_quota;
    let true_units = input.true_units.filter(|units| has_quota && *units <= input.max_units);
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
        triggers_report: is_local_bucket && (excess_units != 0.0 || input.has_open_limit),
    }
}
