//! Where a request stands with its customer's quota.
use crate::id::GatewayIndex;
use crate::messages::quota_message::{QuotaRequestNumber, QuotaVerdict};

/// Who decides whether a request is within its customer's quota, and what was decided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum QuotaState {
    /// This gateway's own token bucket decides, without a message or call. It is checked again when the
    /// request is to be sent, so that `within_quota` is only what is taken for granted until then.
    LocalBucket { within_quota: bool },
    /// The quota's owner was sent a quota request and has not responded.
    AwaitingOwner { owner: GatewayIndex, number: QuotaRequestNumber, sent_ms: f64, retries: u32 },
    /// The owner queues the request until the customer has a free slot.
    QueuedAtOwner { owner: GatewayIndex, number: QuotaRequestNumber },
    /// The owner granted it. Where the quota is ample, the true units need not be reported.
    GrantedByOwner { owner: GatewayIndex, number: QuotaRequestNumber, ample: bool },
    /// It is over the quota, or taken to be. Where it `may_exceed` the quota, it is sent while there is
    /// capacity.
    OverQuota { may_exceed: bool },
    /// The quota counter was called for it and has not responded.
    AwaitingCounter,
    /// The counter's total admitted it. Where the quota is ample, the true units need not be reported.
    AdmittedByCounter { ample: bool },
    /// It may be sent, though the counter was not called for it.
    AdmittedUncounted,
}

impl QuotaState {
    /// Where a request stands after its quota's owner responded to the quota request of this number.
    pub(crate) fn after_verdict(
        verdict: QuotaVerdict,
        owner: GatewayIndex,
        number: QuotaRequestNumber,
    ) -> Self {
        match verdict {
            QuotaVerdict::Granted => QuotaState::GrantedByOwner { owner, number, ample: false },
            QuotaVerdict::GrantedAmple => QuotaState::GrantedByOwner { owner, number, ample: true },
            QuotaVerdict::Queued => QuotaState::QueuedAtOwner { owner, number },
            QuotaVerdict::OverQuotaAllowed => QuotaState::OverQuota { may_exceed: true },
            QuotaVerdict::OverQuota => QuotaState::OverQuota { may_exceed: false },
        }
    }

    /// What has been decided already; `None` where this gateway's own records are still to be checked.
    pub(crate) fn decision(&self) -> Option<QuotaDecision> {
        match self {
            QuotaState::LocalBucket { .. }
            | QuotaState::AdmittedByCounter { .. }
            | QuotaState::AdmittedUncounted => None,
            QuotaState::GrantedByOwner { .. } => Some(QuotaDecision::Admit),
            QuotaState::OverQuota { .. } => Some(QuotaDecision::OverQuota),
            QuotaState::AwaitingOwner { .. }
            | QuotaState::QueuedAtOwner { .. }
            | QuotaState::AwaitingCounter => Some(QuotaDecision::Wait),
        }
    }

    /// Whether the request's attempts count to its customer at this gateway; else the quota's owner counts
    /// them.
    pub(crate) fn holds_slot_here(&self) -> bool {
        self.is_local_bucket()
            || matches!(self, QuotaState::AdmittedByCounter { .. } | QuotaState::AdmittedUncounted)
    }

    /// Whether this gateway's own token bucket decides.
    pub(crate) fn is_local_bucket(&self) -> bool {
        matches!(self, QuotaState::LocalBucket { .. })
    }

    /// Whether the request counts to its customer's quota.
    pub(crate) fn is_within_quota(&self) -> bool {
        match self {
            QuotaState::LocalBucket { within_quota } => *within_quota,
            QuotaState::GrantedByOwner { .. }
            | QuotaState::AdmittedByCounter { .. }
            | QuotaState::AdmittedUncounted => true,
            QuotaState::AwaitingOwner { .. }
            | QuotaState::QueuedAtOwner { .. }
            | QuotaState::OverQuota { .. }
            | QuotaState::AwaitingCounter => false,
        }
    }

    /// Whether the request is over its quota, but may still be sent while there is capacity.
    pub(crate) fn may_exceed_quota(&self) -> bool {
        matches!(self, QuotaState::OverQuota { may_exceed: true })
    }

    /// Whether a response of this owner to the quota request of this number is awaited.
    pub(crate) fn awaits_response(&self, from: GatewayIndex, response_to: QuotaRequestNumber) -> bool {
        match *self {
            QuotaState::AwaitingOwner { owner, number, .. } | QuotaState::QueuedAtOwner { owner, number } => {
                owner == from && number == response_to
            }
            _ => false,
        }
    }
}

/// Whether a request may be sent as far as its customer's quota goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum QuotaDecision {
    /// It may be sent now.
    Admit,
    /// It stays queued: a response, a slot or units of the ceiling are still to come.
    Wait,
    /// It is over the quota, so it leaves the queue.
    OverQuota,
}

/// What the customer's token bucket at this gateway says of a new request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LocalBucketCheck {
    /// The request is within the quota.
    pub(crate) is_within_quota: bool,
    /// Beyond its quota the request may still be sent while there is capacity.
    pub(crate) may_exceed: bool,
    /// Time until the bucket has filled enough for the request, in ms; `None` where it never does.
    pub(crate) retry_after_ms: Option<f64>,
}
