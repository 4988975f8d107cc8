//! Small fleets: every gateway sends every other its counts.
use crate::action::Action;
use crate::gateway::Gateway;
use crate::messages::counts::{
    CeilingTransfer, ConsumedUnits, CountEntry, CountsMessage, QuotaFill, WatermarkOnWire, MAX_CUSTOMER_LEN,
    SEQUENCE_MASK,
};
use crate::policy::coordination::{
    ceiling_transfer_units, counts_messages_per_second, report_interval_ms, MAX_MESSAGE_BYTES,
    MAX_REPORT_INTERVAL_MS,
};
use crate::state::customer::{Customer, PeerCount};
use std::collections::BTreeMap;

/// Messages to each peer in one round of reports, without their heads.
struct ReportRound {
    messages: BTreeMap<usize, Vec<CountsMessage>>,
}

impl ReportRound {
    /// A round in which each peer gets one message at least.
    fn new(peers: impl Iterator<Item = usize>) -> Self {
        ReportRound { messages: peers.map(|peer| (peer, vec![CountsMessage::default()])).collect() }
    }

    /// The message to a peer that has room for one more customer; `None` where there is no such peer.
    fn message_with_room(&mut self, peer: usize) -> Option<&mut CountsMessage> {
        let messages = self.messages.get_mut(&peer)?;
        if messages.last().is_none_or(|m| m.len() + MAX_CUSTOMER_LEN > MAX_MESSAGE_BYTES) {
            messages.push(CountsMessage::default());
        }
        messages.last_mut()
    }

    /// Adds what is to be said of a customer to the messages to its gateways.
    fn add(&mut self, tag: u32, customer: &mut Customer, entry: CountEntry) {
        for peer in customer.gateways().members() {
            let Some(message) = self.message_with_room(peer) else { continue };
            if customer.report_pending() {
                message.counts.push(entry);
            }
            if customer.ceiling_requested() {
                message.ceiling_requests.push(tag);
            }
            if let Some(units) = customer.take_ceiling_transfer(peer) {
                message.ceiling_transfers.push(CeilingTransfer::new(tag, units));
            }
        }
    }
}

impl Gateway {
    /// Whether a round of reports is due.
    pub(crate) fn report_due(&self) -> bool {
        let interval_ms = report_interval_ms(&self.settings);
        !self.peers.by_index.is_empty() && self.clock.now_ms - self.peers.reported_ms >= interval_ms
    }

    /// Sends each peer what changed since the last round, as far as its budget of messages goes.
    pub(crate) fn broadcast_counts(&mut self, actions: &mut Vec<Action>) {
        let stock = self.band_load().in_flight;
        let round = self.collect_reports();
        for (peer, messages) in round.messages {
            self.accrue_message_credit(peer);
            for message in messages {
                self.send_counts(peer, message, stock, actions);
            }
        }
    }

    /// Packs what is to be said of customers into messages.
    fn collect_reports(&mut self) -> ReportRound {
        let mut round = ReportRound::new(self.peers.by_index.keys().copied());
        for tag in self.customers.unreported() {
            let Some(customer) = self.customers.get_mut(tag) else {
                self.customers.mark_reported(tag);
                continue;
            };
            let Some(plan) = customer.plan().map(|p| &self.settings.plans[p]) else { continue };
            customer.refill(plan, self.clock.now_ms);
            let fill = if plan.burst_units > 0.0 { customer.quota_tokens() / plan.burst_units } else { 1.0 };
            let entry = CountEntry {
                tag: tag as u32,
                consumed: ConsumedUnits::new(customer.consumed_units()),
                fill: QuotaFill::at_most(fill),
                in_flight: customer.in_flight(),
            };
            round.add(tag as u32, customer, entry);
            if !customer.end_report_round() {
                self.customers.mark_reported(tag);
            }
        }
        round
    }

    /// Adds the messages that a peer may be sent for the time since the last round.
    fn accrue_message_credit(&mut self, peer: usize) {
        let per_second = counts_messages_per_second(&self.settings);
        let Some(peer) = self.peers.by_index.get_mut(&peer) else { return };
        let accrued = per_second * (self.clock.now_ms - peer.credit_ms) / 1000.0;
        peer.credit = (peer.credit + accrued).min(per_second.max(1.0));
        peer.credit_ms = self.clock.now_ms;
    }

    /// Completes and sends a message, where the budget allows and it says anything new.
    fn send_counts(&mut self, to: usize, mut message: CountsMessage, stock: u32, actions: &mut Vec<Action>) {
        let now_ms = self.clock.now_ms;
        let Some(peer) = self.peers.by_index.get_mut(&to) else { return };
        let nothing_new = message.is_empty()
            && peer.reported_stock == stock
            && now_ms - peer.reported_ms < MAX_REPORT_INTERVAL_MS;
        if peer.credit < 1.0 || nothing_new {
            return;
        }
        peer.credit -= 1.0;
        peer.sent_sequence = (peer.sent_sequence + 1) & SEQUENCE_MASK;
        peer.reported_ms = now_ms;
        peer.reported_stock = stock;
        message.incarnation = self.incarnation;
        message.sequence = peer.sent_sequence;
        message.stock = stock;
        message.watermark = WatermarkOnWire::at_most(self.band.watermark());
        actions.push(Action::SendPeerMessage { to: Some(to), body: message.encode() });
    }

    /// Applies a peer's counts.
    pub(crate) fn on_counts_message(&mut self, from: usize, body: &str) {
        let Some(message) = CountsMessage::decode(body) else { return };
        let Some(peer) = self.peers.by_index.get_mut(&from) else { return };
        if !peer.record_counts_message(&message, self.clock.now_ms) {
            return;
        }
        for entry in &message.counts {
            self.apply_count(from, message.incarnation, entry);
        }
        for tag in &message.ceiling_requests {
            self.on_ceiling_request(from, u64::from(*tag));
        }
        for transfer in &message.ceiling_transfers {
            self.on_ceiling_transfer(transfer);
        }
    }

    /// Applies a peer's count of one customer.
    fn apply_count(&mut self, from: usize, incarnation: u32, entry: &CountEntry) {
        let now_ms = self.clock.now_ms;
        let customer = self.customers.get_or_insert(u64::from(entry.tag), now_ms);
        let plan = customer.plan().map(|p| &self.settings.plans[p]);
        let count = PeerCount {
            incarnation,
            consumed: entry.consumed,
            in_flight: entry.in_flight,
            received_ms: now_ms,
        };
        customer.apply_peer_count(from, count, entry.fill.fraction(), plan, self.settings.max_units);
    }

    /// Gives units of a customer's ceiling to a peer that requests them. They are taken off before the peer
    /// learns of them, so that they are never there twice.
    fn on_ceiling_request(&mut self, from: usize, tag: u64) {
        let Some(customer) = self.customers.get_mut(tag) else { return };
        let Some(plan) = customer.plan().map(|p| &self.settings.plans[p]) else { return };
        customer.refill(plan, self.clock.now_ms);
        let units = ceiling_transfer_units(customer.ceiling_tokens(), self.settings.max_units);
        if units > 0.0 {
            self.customers.schedule_ceiling_transfer(tag, from, units);
        }
    }

    /// Adds units of a customer's ceiling that a peer gave.
    fn on_ceiling_transfer(&mut self, transfer: &CeilingTransfer) {
        let Some(customer) = self.customers.get_mut(u64::from(transfer.tag)) else { return };
        let Some(plan) = customer.plan().map(|p| &self.settings.plans[p]) else { return };
        customer.refill(plan, self.clock.now_ms);
        customer.receive_ceiling(plan, transfer.units());
    }
}
