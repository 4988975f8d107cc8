//! The state of a request's quota check.
use crate::id::GatewayIndex;
use crate::messages::quota_message::{QuotaRequestNumber, QuotaVerdict};

/// The state of a request's quota check: who decides whether the request is within its customer's quota, and
/// what was decided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum QuotaState {
    /// This gateway's own token bucket decides, without a message or call.
    LocalBucket {
        /// Whether the request is taken to be within the quota. This is provisional: the bucket is checked
        /// again when the request is to be sent.
        within_quota: bool,
    },
    /// The quota's owner was sent a quota request and has not responded.
    AwaitingOwner {
        /// The gateway that owns the quota.
        owner: GatewayIndex,
        /// The number of the quota request, which the owner's response repeats.
        number: QuotaRequestNumber,
        /// When the quota request was sent, in milliseconds.
        sent_ms: f64,
        /// How often a quota request for the same request had been sent before.
        resends: u32,
    },
    /// The owner queues the request until the customer has a free slot (`PlanSettings::concurrency_limit`).
    QueuedAtOwner {
        /// The gateway that owns the quota.
        owner: GatewayIndex,
        /// The number of the quota request that the owner queues.
        number: QuotaRequestNumber,
    },
    /// The owner granted the request.
    GrantedByOwner {
        /// The gateway that owns the quota.
        owner: GatewayIndex,
        /// The number of the quota request that was granted, which a release repeats.
        number: QuotaRequestNumber,
        /// Whether the quota is ample, so that the true units need not be reported.
        ample: bool,
    },
    /// The request is over the quota, or assumed to be, or the owner refused it.
    OverQuota {
        /// Whether the request may exceed the quota: it is then sent while there is capacity.
        may_exceed: bool,
    },
    /// The quota counter was called for the request and has not replied.
    AwaitingCounter,
    /// The customer's count admitted the request.
    AdmittedByCounter {
        /// Whether the quota is ample, so that the true units need not be reported.
        ample: bool,
    },
    /// The request may be sent, although the counter was not called for it.
    AdmittedUncounted,
}

impl QuotaState {
    /// Returns the state after the quota's owner responded to the quota request with this number.
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
            QuotaVerdict::Refused => QuotaState::OverQuota { may_exceed: false },
        }
    }

    /// Returns what has been decided already; `None` if this gateway's own records are still to be checked.
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

    /// Returns whether the request's attempts each take a slot (`PlanSettings::concurrency_limit`) at this
    /// gateway. If the owner granted the request, the request takes one slot at the owner instead. A request
    /// that is `QuotaState::OverQuota` takes no slot.
    pub(crate) fn holds_slot_here(&self) -> bool {
        self.is_local_bucket()
            || matches!(self, QuotaState::AdmittedByCounter { .. } | QuotaState::AdmittedUncounted)
    }

    /// Returns whether this gateway's own token bucket decides.
    pub(crate) fn is_local_bucket(&self) -> bool {
        matches!(self, QuotaState::LocalBucket { .. })
    }

    /// Returns whether the request is taken to be within its customer's quota. For `LocalBucket` this is
    /// provisional, and for `AdmittedUncounted` it is an assumption, because the counter was not called for
    /// the request.
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

    /// Returns whether the request is over its quota, but may still be sent while there is capacity.
    pub(crate) fn may_exceed_quota(&self) -> bool {
        matches!(self, QuotaState::OverQuota { may_exceed: true })
    }

    /// Returns whether the request awaits this owner's response to the quota request with this number.
    pub(crate) fn awaits_response(&self, from: GatewayIndex, response_to: QuotaRequestNumber) -> bool {
        match *self {
            QuotaState::AwaitingOwner { owner, number, .. } | QuotaState::QueuedAtOwner { owner, number } => {
                owner == from && number == response_to
            }
            _ => false,
        }
    }
}

/// The decision whether a customer's quota permits a request to be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum QuotaDecision {
    /// The request may be sent now.
    Admit,
    /// The request stays queued until a response, a slot or units of the ceiling arrive.
    Wait,
    /// The request is over the quota or was refused, so it leaves the queue.
    OverQuota,
}

/// Result of checking a new request against the customer's token bucket at this gateway.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LocalBucketCheck {
    /// Whether the request is within the quota.
    pub(crate) is_within_quota: bool,
    /// Whether the request may be sent over the quota while there is capacity.
    pub(crate) may_exceed: bool,
    /// Time until the bucket holds enough for the request, in ms; `None` if it never will.
    pub(crate) retry_after_ms: Option<f64>,
}
