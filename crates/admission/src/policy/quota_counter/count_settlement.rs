//! How a count is corrected once it is known what a counted request really consumed.
use crate::state::{CountedRequest, QuotaState};

/// Units that a counted request consumes. A request that is not admitted consumes none of its own, but those
/// of the requests that it stands for stay counted: they were admitted without a call.
pub(crate) fn consumed_units(request: CountedRequest, is_admitted: bool) -> f64 {
    if is_admitted {
        request.added_units
    } else {
        request.added_units - request.units
    }
}

/// Units by which the count is too low once a request that was sent has ended. `excess_units` is by how much
/// its true units passed the estimate. While the quota is ample nothing is corrected: estimates are as often
/// too high as too low.
pub(crate) fn settlement_units(quota: QuotaState, excess_units: f64) -> f64 {
    match quota {
        QuotaState::AdmittedByCounter { ample: false } => excess_units,
        _ => 0.0,
    }
}

/// Whether a customer's next call is made at once after a reply. A counter that rejects calls is not called
/// again only to settle corrections.
pub(crate) fn may_call_at_once(is_rejected: bool, has_queued_calls: bool) -> bool {
    !is_rejected || has_queued_calls
}
