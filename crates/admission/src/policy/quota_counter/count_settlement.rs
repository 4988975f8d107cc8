//! Correction of a count once it is known what a counted request consumed.
use crate::state::{CountedRequest, QuotaState};

/// Returns the units that a counted request and the requests that it represents consume. A request that is
/// not admitted consumes none of its own units. Those of the requests that it represents stay counted,
/// because these were admitted without a call.
pub(crate) fn consumed_units(request: CountedRequest, is_admitted: bool) -> f64 {
    if is_admitted {
        request.added_units
    } else {
        request.added_units - request.units
    }
}

/// Returns the units by which the count is too low after a request that was sent has ended. `excess_units` is
/// the request's true units less the estimate. Nothing is corrected while the quota is ample, because
/// estimates are as often too high as too low.
pub(crate) fn settlement_units(quota: QuotaState, excess_units: f64) -> f64 {
    match quota {
        QuotaState::AdmittedByCounter { ample: false } => excess_units,
        _ => 0.0,
    }
}

/// Returns whether a customer's next call to the counter is made immediately after a reply. After a rejected
/// call, the counter is not called again for corrections alone.
pub(crate) fn may_call_immediately(is_rejected: bool, has_queued_calls: bool) -> bool {
    !is_rejected || has_queued_calls
}
