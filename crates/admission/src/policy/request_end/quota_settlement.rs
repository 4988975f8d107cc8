//! The settlement of a request that has ended: what is sent to the quota's owner or to the quota counter.
use crate::id::GatewayIndex;
use crate::messages::quota_message::QuotaRequestNumber;
use crate::state::QuotaState;

/// A request that has ended, with all its attempts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndedRequest {
    /// The state of the request's quota check.
    pub(crate) quota: QuotaState,
    /// Whether no attempt was sent.
    pub(crate) is_unsent: bool,
    /// Units that the request was estimated at.
    pub(crate) units: f64,
    /// Units that the attempts consumed beyond the estimate; negative if they consumed less.
    pub(crate) excess_units: f64,
    /// Whether the plan has a concurrency limit, so that the quota's owner counts the request as in flight.
    pub(crate) has_concurrency_limit: bool,
}

/// The settlement of a request that has ended: what is sent to the quota's owner or to the quota counter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum QuotaSettlement {
    /// Nothing is sent: only this gateway counts the request, the count is already right, or the request does
    /// not count towards the quota.
    Nothing,
    /// The request's units in the quota counter are corrected.
    SettleWithCounter,
    /// The quota's owner is sent a release.
    Release {
        /// The gateway that owns the quota and granted the request.
        owner: GatewayIndex,
        /// The number of the quota request, which the release repeats.
        number: QuotaRequestNumber,
        /// Units that the release takes beyond the units granted; if they are negative, it returns them to
        /// the quota.
        additional_units: f64,
    },
    /// The quota request is withdrawn, because the request ended before the owner granted it: its response is
    /// no longer awaited, and the owner is sent a release.
    Withdraw {
        /// The gateway that owns the quota and was sent the quota request.
        owner: GatewayIndex,
        /// The number of the quota request, which the release repeats.
        number: QuotaRequestNumber,
        /// Minus the units that the request was estimated at: the release returns them to the quota.
        additional_units: f64,
    },
}

/// Returns what is sent about a request that has ended. A release costs a message, so a request that was sent
/// is released only if it occupied a slot, or if its true units differ from the estimate and the quota is not
/// ample.
pub(crate) fn settlement_at_end(ended: &EndedRequest) -> QuotaSettlement {
    let unused_units = -ended.units;
    match ended.quota {
        QuotaState::AdmittedByCounter { .. } => QuotaSettlement::SettleWithCounter,
        QuotaState::GrantedByOwner { owner, number, .. } if ended.is_unsent => {
            QuotaSettlement::Release { owner, number, additional_units: unused_units }
        }
        QuotaState::GrantedByOwner { owner, number, ample } => {
            let units_matter = ended.excess_units != 0.0 && !ample;
            if ended.has_concurrency_limit || units_matter {
                QuotaSettlement::Release { owner, number, additional_units: ended.excess_units }
            } else {
                QuotaSettlement::Nothing
            }
        }
        QuotaState::QueuedAtOwner { owner, number } | QuotaState::AwaitingOwner { owner, number, .. } => {
            QuotaSettlement::Withdraw { owner, number, additional_units: unused_units }
        }
        QuotaState::LocalBucket { .. }
        | QuotaState::OverQuota { .. }
        | QuotaState::AwaitingCounter
        | QuotaState::AdmittedUncounted => QuotaSettlement::Nothing,
    }
}
