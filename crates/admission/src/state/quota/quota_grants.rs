//! What the owner of a customer's quota has granted to the other gateways.
use crate::id::GatewayIndex;
use crate::mechanism::decaying_rate::DecayingRate;
use crate::messages::quota_message::QuotaRequestNumber;
use std::collections::VecDeque;

/// A quota request as its owner knows it: who sent it, its number there, and until when it counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Grant {
    /// The gateway that sent it.
    pub(crate) gateway: GatewayIndex,
    /// Its number there.
    pub(crate) number: QuotaRequestNumber,
    /// Until when it counts.
    pub(crate) expires_ms: f64,
}

impl Grant {
    /// Whether it is the quota request of this number from this gateway.
    fn is_for(&self, gateway: GatewayIndex, number: QuotaRequestNumber) -> bool {
        self.gateway == gateway && self.number == number
    }
}

/// The owner's account of one customer: requests granted that have not ended, requests that wait for one of
/// these to end, and how many units are requested and granted.
#[derive(Debug, Clone, Default)]
pub(crate) struct QuotaGrants {
    /// Granted requests that have not ended; a repeat of one is granted again at no cost.
    granted: Vec<Grant>,
    /// Requests that wait for a slot, oldest first.
    waiting: VecDeque<Grant>,
    /// Units requested per second, smoothed.
    requested_rate: DecayingRate,
    /// Units granted per second, smoothed.
    granted_rate: DecayingRate,
}

impl QuotaGrants {
    /// Drops the requests that no longer count: their release was lost, or their time is over.
    pub(crate) fn expire(&mut self, now_ms: f64) {
        self.granted.retain(|g| g.expires_ms > now_ms);
        self.waiting.retain(|g| g.expires_ms > now_ms);
    }

    /// Whether a request has been granted.
    pub(crate) fn is_granted(&self, gateway: GatewayIndex, number: QuotaRequestNumber) -> bool {
        self.granted.iter().any(|g| g.is_for(gateway, number))
    }

    /// Whether a request waits for an active slot.
    pub(crate) fn is_waiting(&self, gateway: GatewayIndex, number: QuotaRequestNumber) -> bool {
        self.waiting.iter().any(|g| g.is_for(gateway, number))
    }

    /// Requests granted that have not ended.
    pub(crate) fn active(&self) -> usize {
        self.granted.len()
    }

    /// Requests that wait for an active slot.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Counts units requested, those of the requests that this one stands for included.
    pub(crate) fn record_request(&mut self, units: f64, now_ms: f64, span_s: f64) {
        self.requested_rate.add(units, now_ms, span_s);
    }

    /// Grants a request.
    pub(crate) fn grant(&mut self, grant: Grant, units: f64, now_ms: f64, span_s: f64) {
        self.granted_rate.add(units, now_ms, span_s);
        self.granted.push(grant);
    }

    /// Queues a request until a slot is free.
    pub(crate) fn enqueue(&mut self, grant: Grant) {
        self.waiting.push_back(grant);
    }

    /// Removes a request that has ended or is no longer wanted, and returns whether it had been granted.
    pub(crate) fn release(&mut self, gateway: GatewayIndex, number: QuotaRequestNumber) -> bool {
        self.waiting.retain(|g| !g.is_for(gateway, number));
        let Some(position) = self.granted.iter().position(|g| g.is_for(gateway, number)) else {
            return false;
        };
        self.granted.swap_remove(position);
        true
    }

    /// Removes the request that has waited longest and still counts.
    pub(crate) fn next_waiting(&mut self, now_ms: f64) -> Option<Grant> {
        self.waiting.retain(|g| g.expires_ms > now_ms);
        self.waiting.pop_front()
    }

    /// Units requested per second, as a divisor: never 0.
    pub(crate) fn requested_per_second(&self, now_ms: f64, span_s: f64) -> f64 {
        self.requested_rate.divisor(now_ms, span_s)
    }

    /// Units granted per second.
    pub(crate) fn granted_per_second(&self, now_ms: f64, span_s: f64) -> f64 {
        self.granted_rate.now(now_ms, span_s)
    }
}
