//! Large fleets: means and observations travel with other messages.
use crate::action::Action;
use crate::gateway::Gateway;
use crate::mechanism::decaying_rate::DecayingRate;
use crate::messages::gossip::GossipMessage;
use crate::messages::observation::Observation;
use crate::policy::coordination::{MEAN_GAIN_PER_SECOND, RECEIVED_MEAN_GAIN};
use crate::policy::in_flight_band::MAX_WATERMARK;
use crate::policy::outlier_detection::MAX_OBSERVATIONS;
use crate::policy::quota_owner::QUOTA_RATE_SPAN_S;
use std::collections::VecDeque;

/// The fleet's means, as gossip has them, and what goes along with the next message.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    /// Mean stock of a gateway, and the same as received, smoothed.
    pub(crate) mean_stock: f64,
    pub(crate) received_stock: f64,
    /// Good answers of a gateway a second: own, the fleet's mean, and as received.
    pub(crate) answer_rate: DecayingRate,
    pub(crate) mean_answer_rate: f64,
    pub(crate) received_answer_rate: f64,
    pub(crate) measured_ms: f64,
    /// Own observations of endpoints, newest last.
    pub(crate) observations: VecDeque<Observation>,
}

impl Gateway {
    pub(crate) fn on_gossip_message(&mut self, from: usize, body: &str, actions: &mut Vec<Action>) {
        let Some(note) = GossipMessage::decode(body) else { return };
        let Some(peer) = self.peers.by_index.get_mut(&from) else { return };
        (peer.received_ms, peer.missed_responses, peer.suspected_until_ms) = (self.clock.now_ms, 0, 0.0);
        let told = (f64::from(note.watermark) / 32.0).clamp(self.watermark_floor(), MAX_WATERMARK);
        self.band.watermark += 0.5 * (told - self.band.watermark);
        let told = f64::from(note.stock) / 64.0;
        self.gossip.mean_stock += 0.5 * (told - self.gossip.mean_stock);
        self.gossip.received_stock += RECEIVED_MEAN_GAIN * (told - self.gossip.received_stock);
        let told = f64::from(note.rate) / 32.0;
        self.gossip.mean_answer_rate += 0.5 * (told - self.gossip.mean_answer_rate);
        self.gossip.received_answer_rate += RECEIVED_MEAN_GAIN * (told - self.gossip.received_answer_rate);
        for seen in &note.observations {
            self.apply_observation(*seen);
        }
        if note.responses.is_empty() {
            self.peers.received_rate.add(1.0, self.clock.now_ms, QUOTA_RATE_SPAN_S);
        }
        self.handle_quota_traffic(from, note, actions);
    }

    /// Sends a note with the gossip that goes along.
    pub(crate) fn send_gossip(&mut self, to: usize, mut note: GossipMessage, actions: &mut Vec<Action>) {
        if to == self.settings.me {
            return self.handle_quota_traffic(to, note, actions);
        }
        note.stock = (self.gossip.mean_stock * 64.0).round() as u32;
        note.watermark = (self.band.watermark * 32.0).round() as u32;
        note.rate = (self.gossip.mean_answer_rate * 32.0).round() as u32;
        let skip = self.gossip.observations.len().saturating_sub(MAX_OBSERVATIONS);
        note.observations = self.gossip.observations.iter().skip(skip).copied().collect();
        actions.push(Action::SendPeerMessage { to: Some(to), body: note.encode() });
    }

    /// Brings the told means towards the own figures.
    pub(crate) fn update_means(&mut self) {
        let (parts, own) = self.band_load();
        self.band.ready_capacity = parts;
        let seconds = (self.clock.now_ms - self.gossip.measured_ms).max(0.0) / 1000.0;
        self.gossip.measured_ms = self.clock.now_ms;
        self.gossip.mean_stock +=
            (1.0 - (-MEAN_GAIN_PER_SECOND * seconds).exp()) * (f64::from(own) - self.gossip.mean_stock);
        let rate = self.gossip.answer_rate.now(self.clock.now_ms, QUOTA_RATE_SPAN_S);
        self.gossip.mean_answer_rate +=
            (1.0 - (-MEAN_GAIN_PER_SECOND * seconds).exp()) * (rate - self.gossip.mean_answer_rate);
        if !self.coordination.exchanges_gossip() {
            // Nobody tells: the own part of the fleet stands for the others'.
            (self.gossip.received_stock, self.gossip.received_answer_rate) =
                (self.gossip.mean_stock, self.gossip.mean_answer_rate);
        }
        let usual = self.mean_response_ms();
        let longest = self.settings.classes.iter().map(|c| c.latency_objective_ms).fold(usual, f64::max);
        // Little's law: what is out, over what is answered, tells of a jam before the answers do.
        let out_ms = if self.gossip.received_answer_rate > 0.0 {
            1000.0 * self.gossip.received_stock / self.gossip.received_answer_rate
        } else {
            usual
        };
        self.latency.set_typical_age_ms(out_ms.clamp(0.5 * usual, 2.0 * longest));
    }
}
