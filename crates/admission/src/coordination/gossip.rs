//! Large fleets: fleet-wide means and observations of endpoints travel with the quota messages.
use crate::action::Action;
use crate::gateway::Gateway;
use crate::mechanism::decaying_rate::DecayingRate;
use crate::messages::gossip::{GossipMessage, MeansOnWire};
use crate::policy::coordination::{mean_attempt_age_ms, MEAN_GAIN, MEAN_GAIN_PER_SECOND, RECEIVED_MEAN_GAIN};
use crate::policy::in_flight_band::MAX_WATERMARK;
use crate::policy::quota_owner::{
    max_quota_messages, quota_messages_per_second, INITIAL_QUOTA_MESSAGES, QUOTA_RATE_SPAN_S,
};
use crate::settings::Settings;
use crate::state::{peer_indices, GatewayMeans, GossipPeer, QuotaRequests};
use std::collections::BTreeMap;

/// What a gateway of a large fleet knows of the others, and what it is to send them.
#[derive(Debug)]
pub(crate) struct Gossip {
    /// The other gateways, by number.
    peers: BTreeMap<usize, GossipPeer>,
    /// Quota requests that wait for a response.
    pub(crate) requests: QuotaRequests,
    /// Message tokens: each quota request takes one, so that no gateway gets more messages than it takes in.
    message_tokens: f64,
    /// Messages a second that others' quota requests and releases bring.
    received_rate: DecayingRate,
}

impl Gossip {
    /// A gateway that has received nothing and sent nothing yet.
    pub(crate) fn new(settings: &Settings) -> Self {
        Gossip {
            peers: peer_indices(settings).map(|peer| (peer, GossipPeer::default())).collect(),
            requests: QuotaRequests::default(),
            message_tokens: INITIAL_QUOTA_MESSAGES,
            received_rate: DecayingRate::default(),
        }
    }

    /// Whether a gateway is sent no quota requests now.
    pub(crate) fn is_suspected(&self, gateway: usize, now_ms: f64) -> bool {
        self.peers.get(&gateway).is_some_and(|peer| peer.is_suspected(now_ms))
    }

    /// Another gateway; `None` for this one.
    pub(crate) fn peer_mut(&mut self, gateway: usize) -> Option<&mut GossipPeer> {
        self.peers.get_mut(&gateway)
    }

    /// Message tokens: quota requests that may be sent now.
    pub(crate) fn message_tokens(&self) -> f64 {
        self.message_tokens
    }

    /// Takes the message token of a quota request.
    pub(crate) fn spend_message_token(&mut self) {
        self.message_tokens -= 1.0;
    }

    /// Enters a message of a peer. Messages with responses do not count as received: own quota requests bring
    /// them, and their share of the capacity is planned for with these.
    fn record_message(&mut self, from: usize, message: &GossipMessage, now_ms: f64) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.record_message();
        }
        if message.responses.is_empty() {
            self.received_rate.add(1.0, now_ms, QUOTA_RATE_SPAN_S);
        }
    }

    /// Adds the message tokens of the seconds gone by.
    fn refill_message_tokens(&mut self, settings: &Settings, seconds: f64, now_ms: f64) {
        let received = self.received_rate.now(now_ms, QUOTA_RATE_SPAN_S);
        let accrued = quota_messages_per_second(settings, received) * seconds;
        self.message_tokens = (self.message_tokens + accrued).min(max_quota_messages(settings));
    }
}

impl Gateway {
    /// Takes a peer's message in: its means, its observations, and its quota messages.
    pub(crate) fn on_gossip_message(&mut self, from: usize, body: &str, actions: &mut Vec<Action>) {
        let Some(message) = GossipMessage::decode(body) else { return };
        if !peer_indices(&self.settings).any(|peer| peer == from) {
            return;
        }
        self.apply_means(&message.means);
        for observation in &message.observations {
            self.apply_observation(*observation);
        }
        if let Some(gossip) = self.coordination.gossip_mut() {
            gossip.record_message(from, &message, self.clock.now_ms());
        }
        self.on_quota_messages(from, message, actions);
    }

    /// Brings this gateway's means towards those of a peer.
    fn apply_means(&mut self, means: &MeansOnWire) {
        let watermark = means.watermark().clamp(self.watermark_floor(), MAX_WATERMARK);
        self.band.follow_watermark(watermark, MEAN_GAIN);
        let means = GatewayMeans { stock: means.stock(), responses_per_second: means.responses_per_second() };
        self.fleet_means.apply(means, MEAN_GAIN, RECEIVED_MEAN_GAIN);
    }

    /// Sends a message with the means and observations that go along; to this gateway itself, takes its quota
    /// messages in at once.
    pub(crate) fn send_gossip(&mut self, to: usize, mut message: GossipMessage, actions: &mut Vec<Action>) {
        if to == self.settings.me {
            return self.on_quota_messages(to, message, actions);
        }
        let means = self.fleet_means.passed_on();
        message.means = MeansOnWire::new(means.stock, self.band.watermark(), means.responses_per_second);
        message.observations = self.recent_observations.to_vec();
        actions.push(Action::SendPeerMessage { to: Some(to), body: message.encode() });
    }

    /// Adds the message tokens of the seconds gone by.
    pub(crate) fn refill_message_tokens(&mut self, seconds: f64) {
        if let Some(gossip) = self.coordination.gossip_mut() {
            gossip.refill_message_tokens(&self.settings, seconds, self.clock.now_ms());
        }
    }

    /// Brings the fleet's means towards this gateway's own figures.
    pub(crate) fn update_means(&mut self) {
        let load = self.band_load();
        self.band.set_ready_capacity(load.ready_capacity);
        let own_stock = f64::from(load.in_flight);
        let now_ms = self.clock.now_ms();
        self.fleet_means.measure(own_stock, now_ms, MEAN_GAIN_PER_SECOND, QUOTA_RATE_SPAN_S);
        if self.coordination.gossip().is_none() {
            // Nothing is received: this gateway's figures stand for the others'.
            self.fleet_means.receive_own();
        }
        let mean_response_ms = self.latency.mean_response_ms();
        let age_ms = mean_attempt_age_ms(&self.settings, self.fleet_means.received(), mean_response_ms);
        self.latency.set_typical_age_ms(age_ms);
    }
}
