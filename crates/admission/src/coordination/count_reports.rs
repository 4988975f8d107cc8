//! Broadcast mode: each gateway reports its counts to every other gateway.
use crate::action::Action;
use crate::gateway::Gateway;
use crate::id::{CustomerKey, GatewayIndex};
use crate::messages::counts_message::{
    CeilingRequest, CeilingTransfer, ConsumedUnits, CountEntry, CountsMessage, FixedPointWatermark,
    QuotaFill, MAX_CUSTOMER_LEN,
};
use crate::policy::peer_messages::ceiling_transfer::{ceiling_transfer_units, max_ceiling_units};
use crate::policy::peer_messages::count_merge::{quota_fill, quota_tokens_after_report};
use crate::policy::peer_messages::message_capacity::MAX_MESSAGE_BYTES;
use crate::policy::peer_messages::report_schedule::{
    max_report_credit, report_interval_ms, reports_per_second, should_send_report, ReportInput,
    CREDIT_PER_REPORT,
};
use crate::state::{BroadcastPeer, Coordination, Customer, PeerCount};
use std::collections::BTreeMap;

/// The messages to each peer in one round of reports. Their headers are filled in when they are sent.
struct ReportRound {
    /// The messages to each peer.
    messages: BTreeMap<GatewayIndex, Vec<CountsMessage>>,
}

impl ReportRound {
    /// Creates a round with one message, still empty, to each peer.
    fn new(peers: impl Iterator<Item = GatewayIndex>) -> Self {
        ReportRound { messages: peers.map(|peer| (peer, vec![CountsMessage::default()])).collect() }
    }

    /// Returns the message to a peer that the next customer's entries are added to: the last one of this
    /// round, or a new one if the last might lack space for them. Returns `None` if there is no such peer.
    fn message_with_space(&mut self, peer: GatewayIndex) -> Option<&mut CountsMessage> {
        let messages = self.messages.get_mut(&peer)?;
        if messages.last().is_none_or(|m| m.len() + MAX_CUSTOMER_LEN > MAX_MESSAGE_BYTES) {
            messages.push(CountsMessage::default());
        }
        messages.last_mut()
    }

    /// Adds a customer's due entries (its count, a ceiling request, a ceiling transfer) to the messages to
    /// the gateways that its requests come through.
    fn add(&mut self, customer: &mut Customer, entry: CountEntry) {
        for peer in customer.gateways().members() {
            let Some(message) = self.message_with_space(peer) else { continue };
            if customer.reports.is_pending() {
                message.counts.push(entry);
            }
            if customer.reports.ceiling_requested() {
                message.ceiling_requests.push(CeilingRequest { tag: entry.tag });
            }
            if let Some(units) = customer.reports.take_ceiling_transfer(peer) {
                message.ceiling_transfers.push(CeilingTransfer::new(entry.tag, units));
            }
        }
    }
}

impl Gateway {
    /// If a round of reports is due, sends a report to each peer for which there is something new or whose
    /// last report was long ago. A customer's entries go only to the gateways that its requests come through.
    /// This gateway's report credit for a peer limits the messages to it. A message for which there is no
    /// credit is dropped with its entries: its counts are sent again only in the next round for which they
    /// are scheduled, and the units of its ceiling transfers are lost.
    pub(crate) fn broadcast_counts_if_due(&mut self, actions: &mut Vec<Action>) {
        let Coordination::Broadcast(broadcast) = &mut self.coordination else { return };
        let interval_ms = report_interval_ms(self.settings.gateways, self.settings.peer_messages_per_second);
        let Some(peers) = broadcast.begin_round(self.clock.now_ms(), interval_ms) else { return };
        let round = ReportRound::new(peers);
        let in_flight = self.band_load().in_flight;
        let round = self.collect_reports(round);
        self.send_reports(round, in_flight, actions);
    }

    /// Packs what is to be reported about customers into messages.
    fn collect_reports(&mut self, mut round: ReportRound) -> ReportRound {
        for key in self.customers.unreported() {
            let Some(customer) = self.customers.get_mut(key) else {
                self.customers.mark_reported(key);
                continue;
            };
            let Some(plan) = customer.plan().map(|p| self.settings.plan(p)) else { continue };
            customer.refill(plan, self.clock.now_ms());
            let fill = quota_fill(customer.quota_tokens(), plan.burst_units);
            let entry = CountEntry {
                tag: key.low_32_bits(),
                consumed: ConsumedUnits::new(customer.reports.consumed_units()),
                fill: QuotaFill::at_most(fill),
                in_flight: customer.in_flight(),
            };
            round.add(customer, entry);
            if !customer.reports.end_round() {
                self.customers.mark_reported(key);
            }
        }
        round
    }

    /// Fills in the headers of a round's messages, and sends the messages that are due and for which there is
    /// credit. The others are dropped.
    fn send_reports(&mut self, round: ReportRound, in_flight: u32, actions: &mut Vec<Action>) {
        let now_ms = self.clock.now_ms();
        let Coordination::Broadcast(broadcast) = &mut self.coordination else { return };
        let per_second = reports_per_second(self.settings.gateways, self.settings.peer_messages_per_second);
        for (to, messages) in round.messages {
            let Some(peer) = broadcast.peer_mut(to) else { continue };
            peer.accrue_credit(per_second, max_report_credit(per_second), now_ms);
            for mut message in messages {
                message.incarnation = self.incarnation;
                message.in_flight = in_flight;
                message.watermark = FixedPointWatermark::at_most(self.band.watermark());
                if should_send_report(report_input(peer, &message, now_ms)) {
                    peer.record_sent_report(&mut message, CREDIT_PER_REPORT, now_ms);
                    actions.push(Action::SendPeerMessage { to, body: message.encode() });
                }
            }
        }
    }

    /// Applies a peer's counts.
    pub(crate) fn on_counts_message(&mut self, from: GatewayIndex, body: &str) {
        let Some(message) = CountsMessage::decode(body) else { return };
        let Coordination::Broadcast(broadcast) = &mut self.coordination else { return };
        let Some(peer) = broadcast.peer_mut(from) else { return };
        if !peer.record_message(&message, self.clock.now_ms()) {
            return;
        }
        for entry in &message.counts {
            self.apply_count(from, message.incarnation, entry);
        }
        for request in &message.ceiling_requests {
            self.on_ceiling_request(from, CustomerKey::from_tag(request.tag));
        }
        for transfer in &message.ceiling_transfers {
            self.on_ceiling_transfer(transfer);
        }
    }

    /// Applies a peer's count of one customer, unless there is no room for the customer's record.
    fn apply_count(&mut self, from: GatewayIndex, incarnation: u32, entry: &CountEntry) {
        let key = CustomerKey::from_tag(entry.tag);
        if !self.has_room_for_customer(key) {
            return;
        }
        let now_ms = self.clock.now_ms();
        let customer = self.customers.get_or_insert(key, now_ms);
        let count = PeerCount {
            incarnation,
            consumed: entry.consumed,
            in_flight: entry.in_flight,
            received_ms: now_ms,
        };
        let plan = customer.plan().map(|p| self.settings.plan(p));
        match plan {
            Some(plan) => customer.refill(plan, now_ms),
            None => customer.skip_refill(now_ms),
        }
        let burst_units = plan.map_or(1.0, |p| p.burst_units);
        let consumption = customer.reported_consumption(from, &count, entry.fill.fraction());
        let max_overdraft_units = self.settings.max_units;
        let tokens = customer.quota_tokens();
        let tokens = quota_tokens_after_report(tokens, consumption, burst_units, max_overdraft_units);
        customer.record_peer_count(from, count, tokens);
    }

    /// Transfers units of a customer's ceiling to a peer that requests them.
    ///
    /// Guards against units that exist at two gateways at once, with which the ceiling could be exceeded.
    /// They are deducted here before the message that carries them is sent, so a lost message loses units
    /// instead.
    fn on_ceiling_request(&mut self, from: GatewayIndex, key: CustomerKey) {
        let Some(customer) = self.customers.get_mut(key) else { return };
        let Some(plan) = customer.plan().map(|p| self.settings.plan(p)) else { return };
        customer.refill(plan, self.clock.now_ms());
        let units = ceiling_transfer_units(customer.ceiling_tokens(), self.settings.max_units);
        if units > 0.0 {
            self.customers.schedule_ceiling_transfer(key, from, units);
        }
    }

    /// Adds the units of a customer's ceiling that a peer transferred.
    fn on_ceiling_transfer(&mut self, transfer: &CeilingTransfer) {
        let Some(customer) = self.customers.get_mut(CustomerKey::from_tag(transfer.tag)) else { return };
        let Some(plan) = customer.plan().map(|p| self.settings.plan(p)) else { return };
        customer.refill(plan, self.clock.now_ms());
        let max_units = max_ceiling_units(plan.ceiling_burst_units, customer.gateways().len());
        customer.receive_ceiling(transfer.units(), max_units);
    }
}

/// Returns what decides whether a report is sent to a peer.
fn report_input(peer: &BroadcastPeer, message: &CountsMessage, now_ms: f64) -> ReportInput {
    ReportInput {
        report_credit: peer.credit(),
        has_no_entries: message.is_empty(),
        has_same_in_flight: peer.sent_in_flight() == message.in_flight,
        since_last_ms: peer.since_sent_ms(now_ms),
    }
}
