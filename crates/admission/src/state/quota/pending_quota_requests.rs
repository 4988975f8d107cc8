//! Gossip mode: quota requests that this gateway has sent to owners and that await a response or a grant.
use crate::id::{GatewayIndex, RequestId};
use crate::messages::quota_message::QuotaRequestNumber;
use crate::state::QuotaState;
use std::collections::BTreeMap;

/// The gateway that decides whether a request is within its quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuotaRoute {
    /// The quota's owner decides: it is sent a quota request.
    ToOwner,
    /// This gateway decides without the owner, by what it expects of the customer.
    WithoutOwner(QuotaExpectation),
}

/// This gateway's expectation of a customer when it decides on a request without the quota's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuotaExpectation {
    /// The customer is most likely within its quota.
    Within,
    /// The customer is most likely over its quota.
    Over,
}

/// Quota requests that await a response or a grant, by their number. Some of them may have been decided
/// without the owner in the meantime.
#[derive(Debug, Default)]
pub(crate) struct PendingQuotaRequests {
    /// The request that each quota request was sent for.
    pending: BTreeMap<QuotaRequestNumber, RequestId>,
    /// Number of the next new quota request.
    next_number: QuotaRequestNumber,
}

impl PendingQuotaRequests {
    /// Returns the number for a quota request to the owner `to`, for a request in this state. If the request
    /// awaits the response of another owner, the quota request to that owner is removed.
    ///
    /// This guards against a lost response, after which the owner would grant the same request twice: a quota
    /// request that is repeated to the same owner keeps its number, by which the owner recognizes it.
    pub(crate) fn number_for(&mut self, state: QuotaState, to: GatewayIndex) -> QuotaRequestNumber {
        match state {
            QuotaState::AwaitingOwner { owner, number, .. } if owner == to => return number,
            QuotaState::AwaitingOwner { number, .. } => self.remove(number),
            _ => {}
        }
        self.next_number
    }

    /// Records a quota request that is being sent, with a new number or repeated with its old one.
    pub(crate) fn insert(&mut self, number: QuotaRequestNumber, request: RequestId) {
        if number == self.next_number {
            self.next_number = number.next();
        }
        self.pending.insert(number, request);
    }

    /// Returns the request that a quota request was sent for.
    pub(crate) fn get(&self, number: QuotaRequestNumber) -> Option<RequestId> {
        self.pending.get(&number).copied()
    }

    /// Removes a quota request that no longer awaits a response or a grant.
    pub(crate) fn remove(&mut self, number: QuotaRequestNumber) {
        self.pending.remove(&number);
    }

    /// Returns the requests of all recorded quota requests, in the order of the quota requests' numbers. Some
    /// of them may have been decided without the owner in the meantime.
    pub(crate) fn request_ids(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.pending.values().copied()
    }
}
