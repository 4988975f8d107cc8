//! Small fleets: every gateway sends every other its counts.
use crate::action::Action;
use crate::gateway::Gateway;
use crate::messages::counts::{CountEntry, CountsMessage};
use crate::policy::coordination::{MAX_MESSAGE_BYTES, MAX_REPORT_INTERVAL_MS, PEER_MESSAGE_FRACTION};
use crate::state::customer::{Customer, PeerCount};
use std::collections::BTreeMap;

impl Gateway {
    pub(crate) fn broadcast_counts(&mut self, actions: &mut Vec<Action>) {
        let stock = self.band_load().in_flight;
        let gateways = self.settings.gateways;
        let mut notes: BTreeMap<usize, Vec<CountsMessage>> =
            self.peers.by_index.keys().map(|p| (*p, vec![CountsMessage::default()])).collect();
        let tags: Vec<u64> = self.customers.unreported.iter().copied().collect();
        for tag in tags {
            let Some(customer) = self.customers.by_tag.get_mut(&tag) else {
                self.customers.unreported.remove(&tag);
                continue;
            };
            let Some(plan) = customer.plan.map(|p| &self.settings.plans[p]) else { continue };
            customer.fill(plan, self.clock.now_ms);
            let level = if plan.burst_units > 0.0 { customer.tokens / plan.burst_units } else { 1.0 };
            let entry = CountEntry {
                tag: tag as u32,
                consumed: (customer.consumed * 4.0).round() as i64 as u32 & 0x3_ffff,
                fill: (level.clamp(0.0, 1.0) * 63.0) as u32,
                in_flight: customer.in_flight,
            };
            for step in 0..customer.spread {
                let peer = (customer.first + step) % gateways;
                let Some(list) = notes.get_mut(&peer) else { continue };
                if list.last().is_none_or(|n| n.len() + 23 > MAX_MESSAGE_BYTES) {
                    list.push(CountsMessage::default());
                }
                let Some(note) = list.last_mut() else { continue };
                if customer.pending_rounds > 0 {
                    note.counts.push(entry);
                }
                if customer.ceiling_requested {
                    note.ceiling_requests.push(tag as u32);
                }
                if let Some(gift) = customer.ceiling_transfers.remove(&peer) {
                    note.ceiling_transfers.push((tag as u32, (gift * 4.0) as u32));
                }
            }
            customer.ceiling_requested = false;
            customer.pending_rounds = customer.pending_rounds.saturating_sub(1);
            if customer.pending_rounds == 0 {
                self.customers.unreported.remove(&tag);
            }
        }
        for (id, list) in notes {
            let Some(peer) = self.peers.by_index.get_mut(&id) else { continue };
            let rate = PEER_MESSAGE_FRACTION * self.settings.peer_messages_per_second / (gateways - 1) as f64;
            peer.credit =
                (peer.credit + rate * (self.clock.now_ms - peer.credit_ms) / 1000.0).min(rate.max(1.0));
            peer.credit_ms = self.clock.now_ms;
            for mut note in list {
                let bare = note.len() == CountsMessage::default().len();
                if peer.credit < 1.0
                    || (bare
                        && peer.reported_stock == stock
                        && self.clock.now_ms - peer.reported_ms < MAX_REPORT_INTERVAL_MS)
                {
                    continue;
                }
                peer.credit -= 1.0;
                peer.sent_seq = (peer.sent_seq + 1) & 0xfff;
                (peer.reported_ms, peer.reported_stock) = (self.clock.now_ms, stock);
                (note.incarnation, note.seq, note.stock) = (self.incarnation, peer.sent_seq, stock);
                note.watermark = (self.band.watermark() * 16.0) as u32;
                actions.push(Action::SendPeerMessage { to: Some(id), body: note.encode() });
            }
        }
    }

    pub(crate) fn on_counts_message(&mut self, from: usize, body: &str) {
        let now = self.clock.now_ms;
        let (Some(note), Some(peer)) = (CountsMessage::decode(body), self.peers.by_index.get_mut(&from))
        else {
            return;
        };
        let restarted = peer.incarnation != Some(note.incarnation);
        // Repeated and overtaken messages are stale: counts are cumulative, and a gift counts once.
        if !restarted && (note.seq.wrapping_sub(peer.seq) & 0xfff).wrapping_sub(1) >= 0x7ff {
            return;
        }
        (peer.incarnation, peer.seq, peer.stock, peer.received_ms) =
            (Some(note.incarnation), note.seq, note.stock, now);
        peer.watermark = f64::from(note.watermark) / 16.0;
        for entry in note.counts {
            let customer =
                self.customers.by_tag.entry(u64::from(entry.tag)).or_insert_with(|| Customer::new(now));
            let burst = match customer.plan.map(|p| &self.settings.plans[p]) {
                Some(plan) => {
                    customer.fill(plan, now);
                    plan.burst_units
                }
                None => {
                    customer.filled_ms = now;
                    1.0
                }
            };
            let told = f64::from(entry.fill) / 63.0 * burst;
            match customer.peers.get(&from) {
                Some(known) if customer.plan.is_some() => {
                    // A sender that started anew counts from nothing.
                    let before = if known.incarnation == note.incarnation { known.consumed } else { 0 };
                    let mut drawn = f64::from(entry.consumed.wrapping_sub(before) & 0x3_ffff) / 4.0;
                    if drawn >= 32_768.0 {
                        drawn -= 65_536.0;
                    }
                    customer.tokens = (customer.tokens - drawn).clamp(-self.settings.max_units, burst);
                }
                // First word of this peer on this customer: its view of the store is the best there is.
                _ => customer.tokens = customer.tokens.min(told),
            }
            customer.used_ms = now;
            let count = PeerCount {
                incarnation: note.incarnation,
                consumed: entry.consumed,
                in_flight: entry.in_flight,
                received_ms: now,
            };
            customer.peers.insert(from, count);
        }
        for tag in note.ceiling_requests {
            self.transfer_ceiling(from, u64::from(tag));
        }
        for (tag, quarters) in note.ceiling_transfers {
            if let Some((customer, plan)) = self
                .customers
                .by_tag
                .get_mut(&u64::from(tag))
                .and_then(|c| c.plan.map(|p| (c, &self.settings.plans[p])))
            {
                // Never above the own part: the sum of all parts must not pass what the ceiling holds.
                let most = plan.ceiling_burst_units / customer.spread as f64;
                customer.fill(plan, now);
                customer.ceiling_tokens = (customer.ceiling_tokens + f64::from(quarters) / 4.0).min(most);
            }
        }
    }

    /// Gives half of the ceiling units not needed here to a peer that asks, taken off before they are told.
    pub(crate) fn transfer_ceiling(&mut self, to: usize, tag: u64) {
        let Some(customer) = self.customers.by_tag.get_mut(&tag) else { return };
        let Some(plan) = customer.plan.map(|p| &self.settings.plans[p]) else { return };
        customer.fill(plan, self.clock.now_ms);
        let gift = ((customer.ceiling_tokens - self.settings.max_units).max(0.0) * 2.0).floor() / 4.0;
        if gift > 0.0 {
            customer.ceiling_tokens -= gift;
            *customer.ceiling_transfers.entry(to).or_insert(0.0) += gift;
            self.customers.unreported.insert(tag);
        }
    }
}
