//! What whoever counts a customer's quota is sent when a request has ended.
use crate::id::GatewayIndex;
use crate::messages::quota_message::QuotaRequestNumber;
use crate::state::QuotaState;

/// A request that has ended, with all its attempts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndedRequest {
    /// Where it stands with the quota.
    pub(crate) quota: QuotaState,
    /// Whether no attempt was sent.
    pub(crate) is_unsent: bool,
    /// Units that it counts.
    pub(crate) units: f64,
    /// Units by which its attempts passed these.
    pub(crate) excess_units: f64,
    /// Whether its plan has an open limit, so that the quota's owner counts it as in flight.
    pub(crate) has_concurrency_limit: bool,
}

/// What is sent about a request that has ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum QuotaSettlement {
    /// Nothing: this gateway counts it alone, or the count is right already.
    Nothing,
    /// The quota counter's count is settled.
    SettleWithCounter,
    /// The quota's owner is sent a release with the units to take beyond those granted; below 0 they go back.
    Release { owner: GatewayIndex, number: QuotaRequestNumber, additional_units: f64 },
    /// The quota request is withdrawn before a response to it was used: no response is awaited any more, and
    /// the owner is sent a release.
    Withdraw { owner: GatewayIndex, number: QuotaRequestNumber, additional_units: f64 },
}

/// What is sent about a request that has ended. A release costs a message, so a request that was sent is
/// released only where it occupied a slot, or where its true units differ and the quota is not ample.
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
