//! Quota requests that this gateway sent to owners and that wait for a response.
use crate::id::{GatewayIndex, RequestId};
use crate::messages::quota_message::QuotaRequestNumber;
use crate::state::QuotaState;
use std::collections::BTreeMap;

/// Who decides on a request's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuotaRoute {
    /// The owner is sent a quota request.
    ToOwner,
    /// This gateway decides alone, by what is expected of the customer.
    DecideAlone(QuotaExpectation),
}

/// What is expected of a customer on whose request its quota's owner does not decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuotaExpectation {
    /// It is most likely within its quota.
    Within,
    /// It is most likely over its quota.
    Over,
}

/// Quota requests that wait for a response, by their number.
#[derive(Debug, Default)]
pub(crate) struct QuotaRequests {
    /// The requests that they were sent for.
    pending: BTreeMap<QuotaRequestNumber, RequestId>,
    /// The number that the next new quota request gets.
    next_number: QuotaRequestNumber,
}

impl QuotaRequests {
    /// The number of a quota request to an owner, given where the request stands.
    ///
    /// Guards against a lost response, after which the owner would grant the same request twice: the same
    /// owner gets the same number again, by which it recognizes the request.
    pub(crate) fn number_for(&mut self, state: QuotaState, to: GatewayIndex) -> QuotaRequestNumber {
        match state {
            QuotaState::AwaitingOwner { owner, number, .. } if owner == to => return number,
            QuotaState::AwaitingOwner { number, .. } => self.remove(number),
            _ => {}
        }
        self.next_number
    }

    /// Records a quota request that is sent, whether with a new number or again with an old one.
    pub(crate) fn insert(&mut self, number: QuotaRequestNumber, request: RequestId) {
        if number == self.next_number {
            self.next_number = number.next();
        }
        self.pending.insert(number, request);
    }

    /// The request that a quota request was sent for.
    pub(crate) fn get(&self, number: QuotaRequestNumber) -> Option<RequestId> {
        self.pending.get(&number).copied()
    }

    /// Removes a quota request that no response is awaited for.
    pub(crate) fn remove(&mut self, number: QuotaRequestNumber) {
        self.pending.remove(&number);
    }

    /// The requests of all numbers recorded, in the order of the numbers. Some may have been decided without
    /// the owner meanwhile.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.pending.values().copied()
    }
}
