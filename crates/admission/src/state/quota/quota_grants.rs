//! Gossip mode: quota requests that the owner of a customer's quota has granted or queued.
use crate::id::GatewayIndex;
use crate::mechanism::decaying_rate::DecayingRate;
use crate::messages::quota_message::QuotaRequestNumber;
use std::collections::VecDeque;

/// The owner's record of a quota request that it has granted, or has queued to grant it later. The gateway
/// that sent it and its number there identify the quota request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct QuotaRequestRecord {
    /// Gateway that sent the quota request.
    pub(crate) gateway: GatewayIndex,
    /// Number of the quota request at its sender.
    pub(crate) number: QuotaRequestNumber,
    /// When the grant or the place in the queue expires, in ms.
    pub(crate) expires_ms: f64,
}

impl QuotaRequestRecord {
    /// Returns whether this is the quota request with this number from this gateway.
    fn is_for(&self, gateway: GatewayIndex, number: QuotaRequestNumber) -> bool {
        self.gateway == gateway && self.number == number
    }
}

/// The owner's record of one customer's quota requests: those granted and not yet ended, those that wait for
/// one of these to end, and the rates of units requested and granted.
#[derive(Debug, Clone, Default)]
pub(crate) struct QuotaGrants {
    /// Granted requests that have not ended. A repeated quota request for one of them is granted again at no
    /// cost.
    granted: Vec<QuotaRequestRecord>,
    /// Requests that wait for a slot, oldest first.
    waiting: VecDeque<QuotaRequestRecord>,
    /// Units requested per second, smoothed.
    requested_rate: DecayingRate,
    /// Units granted per second, smoothed.
    granted_rate: DecayingRate,
}

impl QuotaGrants {
    /// Removes the requests that have expired: their release was lost, or they waited too long.
    pub(crate) fn expire(&mut self, now_ms: f64) {
        self.granted.retain(|record| record.expires_ms > now_ms);
        self.waiting.retain(|record| record.expires_ms > now_ms);
    }

    /// Returns whether a quota request has been granted and has not ended.
    pub(crate) fn is_granted(&self, gateway: GatewayIndex, number: QuotaRequestNumber) -> bool {
        self.granted.iter().any(|record| record.is_for(gateway, number))
    }

    /// Returns whether a quota request waits for a slot.
    pub(crate) fn is_waiting(&self, gateway: GatewayIndex, number: QuotaRequestNumber) -> bool {
        self.waiting.iter().any(|record| record.is_for(gateway, number))
    }

    /// Returns whether a request is granted and has not ended, or waits for a slot, and has not expired.
    pub(crate) fn has_requests(&self, now_ms: f64) -> bool {
        self.granted.iter().chain(&self.waiting).any(|record| record.expires_ms > now_ms)
    }

    /// Returns the number of granted requests that have not ended.
    pub(crate) fn granted_count(&self) -> usize {
        self.granted.len()
    }

    /// Returns the number of requests that wait for a slot.
    pub(crate) fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Adds requested units to the rate of requested units, including those of the requests that the sampled
    /// one represents.
    pub(crate) fn record_demand(&mut self, units: f64, now_ms: f64, time_constant_s: f64) {
        self.requested_rate.add(units, now_ms, time_constant_s);
    }

    /// Grants a request and adds its units to the rate of granted units.
    pub(crate) fn grant(
        &mut self,
        record: QuotaRequestRecord,
        units: f64,
        now_ms: f64,
        time_constant_s: f64,
    ) {
        self.granted_rate.add(units, now_ms, time_constant_s);
        self.granted.push(record);
    }

    /// Queues a request until a slot is free.
    pub(crate) fn enqueue(&mut self, record: QuotaRequestRecord) {
        self.waiting.push_back(record);
    }

    /// Removes a request that has ended or is no longer wanted, and returns whether it had been granted.
    pub(crate) fn release(&mut self, gateway: GatewayIndex, number: QuotaRequestNumber) -> bool {
        self.waiting.retain(|record| !record.is_for(gateway, number));
        let Some(position) = self.granted.iter().position(|record| record.is_for(gateway, number)) else {
            return false;
        };
        self.granted.swap_remove(position);
        true
    }

    /// Removes and returns the request that has waited longest and has not expired.
    pub(crate) fn next_waiting(&mut self, now_ms: f64) -> Option<QuotaRequestRecord> {
        self.waiting.retain(|record| record.expires_ms > now_ms);
        self.waiting.pop_front()
    }

    /// Returns the units requested per second. The rate is a divisor, so it is never 0.
    pub(crate) fn requested_per_second(&self, now_ms: f64, time_constant_s: f64) -> f64 {
        self.requested_rate.nonzero_per_second_at(now_ms, time_constant_s)
    }

    /// Returns the units granted per second.
    pub(crate) fn granted_per_second(&self, now_ms: f64, time_constant_s: f64) -> f64 {
        self.granted_rate.per_second_at(now_ms, time_constant_s)
    }
}
