//! Large fleets: fleet-wide means and observations of endpoints travel with the quota messages.
use crate::action::Action;
use crate::gateway::Gateway;
use crate::mechanism::decaying_rate::DecayingRate;
use crate::mechanism::smoothing::smooth;
use crate::messages::gossip::{GossipMessage, MeansOnWire};
use crate::messages::observation::Observation;
use crate::policy::coordination::{
    MEAN_GAIN, MEAN_GAIN_PER_SECOND, PEER_MESSAGE_FRACTION, RECEIVED_MEAN_GAIN,
};
use crate::policy::in_flight_band::MAX_WATERMARK;
use crate::policy::outlier_detection::MAX_OBSERVATIONS;
use crate::policy::quota_owner::QUOTA_RATE_SPAN_S;
use std::collections::VecDeque;

/// The fleet's means, as gossip has them, and what goes along with the next message.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    /// Mean attempts in flight of a gateway, as passed on to peers.
    pub(crate) mean_stock: f64,
    /// The same as received, smoothed.
    pub(crate) received_stock: f64,
    /// This gateway's own good responses a second.
    pub(crate) answer_rate: DecayingRate,
    /// Mean good responses of a gateway a second, as passed on to peers.
    pub(crate) mean_answer_rate: f64,
    /// The same as received, smoothed.
    pub(crate) received_answer_rate: f64,
    /// When the means were last brought towards the own figures.
    pub(crate) measured_ms: f64,
    /// Own observations of endpoints, newest last.
    pub(crate) observations: VecDeque<Observation>,
}

impl Gateway {
    /// Takes a peer's message in: its means, its observations, and its quota messages.
    pub(crate) fn on_gossip_message(&mut self, from: usize, body: &str, actions: &mut Vec<Action>) {
        let Some(message) = GossipMessage::decode(body) else { return };
        let Some(peer) = self.peers.by_index.get_mut(&from) else { return };
        peer.record_gossip_message(self.clock.now_ms);
        self.apply_means(&message.means);
        for observation in &message.observations {
            self.apply_observation(*observation);
        }
        if message.responses.is_empty() {
            self.peers.received_rate.add(1.0, self.clock.now_ms, QUOTA_RATE_SPAN_S);
        }
        self.on_quota_messages(from, message, actions);
    }

    /// Brings this gateway's means towards those of a peer.
    fn apply_means(&mut self, means: &MeansOnWire) {
        let watermark = means.watermark().clamp(self.watermark_floor(), MAX_WATERMARK);
        self.band.follow_watermark(watermark, MEAN_GAIN);
        smooth(&mut self.gossip.mean_stock, means.stock(), MEAN_GAIN);
        smooth(&mut self.gossip.received_stock, means.stock(), RECEIVED_MEAN_GAIN);
        smooth(&mut self.gossip.mean_answer_rate, means.responses_per_second(), MEAN_GAIN);
        smooth(&mut self.gossip.received_answer_rate, means.responses_per_second(), RECEIVED_MEAN_GAIN);
    }

    /// Sends a message with the means and observations that go along; to this gateway itself, takes its quota
    /// messages in at once.
    pub(crate) fn send_gossip(&mut self, to: usize, mut message: GossipMessage, actions: &mut Vec<Action>) {
        if to == self.settings.me {
            return self.on_quota_messages(to, message, actions);
        }
        message.means =
            MeansOnWire::new(self.gossip.mean_stock, self.band.watermark(), self.gossip.mean_answer_rate);
        let skip = self.gossip.observations.len().saturating_sub(MAX_OBSERVATIONS);
        message.observations = self.gossip.observations.iter().skip(skip).copied().collect();
        actions.push(Action::SendPeerMessage { to: Some(to), body: message.encode() });
    }

    /// Adds the messages that may be sent for the seconds since the last call.
    pub(crate) fn refill_message_tokens(&mut self, seconds: f64) {
        let accrued = self.quota_messages_per_second() * seconds;
        self.peers.message_tokens = (self.peers.message_tokens + accrued).min(self.max_message_tokens());
    }

    /// Messages that may be saved up: as many as a gateway's peers may send it in a second.
    pub(crate) fn max_message_tokens(&self) -> f64 {
        PEER_MESSAGE_FRACTION * self.settings.peer_messages_per_second
    }

    /// Brings the means towards this gateway's own figures.
    pub(crate) fn update_means(&mut self) {
        let load = self.band_load();
        self.band.set_ready_capacity(load.ready_capacity);
        let now_ms = self.clock.now_ms;
        let seconds = (now_ms - self.gossip.measured_ms).max(0.0) / 1000.0;
        self.gossip.measured_ms = now_ms;
        let gain = 1.0 - (-MEAN_GAIN_PER_SECOND * seconds).exp();
        smooth(&mut self.gossip.mean_stock, f64::from(load.in_flight), gain);
        let own_rate = self.gossip.answer_rate.now(now_ms, QUOTA_RATE_SPAN_S);
        smooth(&mut self.gossip.mean_answer_rate, own_rate, gain);
        if !self.coordination.exchanges_gossip() {
            // Nothing is received: this gateway's figures stand for the others'.
            self.gossip.received_stock = self.gossip.mean_stock;
            self.gossip.received_answer_rate = self.gossip.mean_answer_rate;
        }
        let age_ms = self.mean_attempt_age_ms();
        self.latency.set_typical_age_ms(age_ms);
    }

    /// How long attempts are in flight, by Little's law: what is in flight over what is answered shows a jam
    /// before the answers do.
    fn mean_attempt_age_ms(&self) -> f64 {
        let usual_ms = self.mean_response_ms();
        let objectives = self.settings.classes.iter().map(|c| c.latency_objective_ms);
        let longest_ms = objectives.fold(usual_ms, f64::max);
        let age_ms = if self.gossip.received_answer_rate > 0.0 {
            1000.0 * self.gossip.received_stock / self.gossip.received_answer_rate
        } else {
            usual_ms
        };
        age_ms.clamp(0.5 * usual_ms, 2.0 * longest_ms)
    }
}
