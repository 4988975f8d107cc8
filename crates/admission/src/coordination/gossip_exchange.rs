//! Large fleets: the means over the fleet. In gossip mode: exchange of these means and of endpoint
//! observations, which are carried by the quota messages.
use crate::action::Action;
use crate::gateway::Gateway;
use crate::id::GatewayIndex;
use crate::messages::gossip_message::{FixedPointMeans, GossipMessage};
use crate::policy::band::watermark::bounded_watermark;
use crate::policy::peer_messages::fleet_mean_rules::{
    mean_attempt_age_ms, OWN_MEAN_GAIN_PER_SECOND, PASSED_ON_MEAN_GAIN, RECEIVED_MEAN_GAIN,
};
use crate::policy::peer_messages::quota_message_budget::{max_message_tokens, quota_requests_per_second};
use crate::policy::quota_owner::owner_sampling::RATE_TIME_CONSTANT_S;
use crate::state::{peer_indices, Coordination, GatewayMeans};

impl Gateway {
    /// Applies a peer's message: its means, its observations, and its quota messages.
    ///
    /// Guards against datagrams that no gateway of this fleet sent: a message that cannot be decoded, or
    /// whose sender is not among the peers, is ignored.
    pub(crate) fn on_gossip_message(&mut self, from: GatewayIndex, body: &str, actions: &mut Vec<Action>) {
        let Some(message) = GossipMessage::decode(body) else { return };
        if !peer_indices(&self.settings).any(|peer| peer == from) {
            return;
        }
        self.apply_means(&message.means);
        for observation in &message.observations {
            self.apply_observation(*observation);
        }
        if let Some(gossip) = self.coordination.gossip_mut() {
            gossip.record_message(from, &message, self.clock.now_ms(), RATE_TIME_CONSTANT_S);
        }
        self.on_quota_messages(from, message, actions);
    }

    /// Moves this gateway's means towards those of a peer. The watermark is bounded, so that a corrupt
    /// message cannot move it beyond what this gateway's own steps could reach.
    fn apply_means(&mut self, means: &FixedPointMeans) {
        let watermark = bounded_watermark(means.watermark(), self.watermark_floor());
        self.band.follow_watermark(watermark, PASSED_ON_MEAN_GAIN);
        let means =
            GatewayMeans { in_flight: means.in_flight(), responses_per_second: means.responses_per_second() };
        self.fleet_means.apply(means, PASSED_ON_MEAN_GAIN, RECEIVED_MEAN_GAIN);
    }

    /// Sends a message with this gateway's means and recent observations added. A message to this gateway
    /// itself is applied immediately instead.
    pub(crate) fn send_gossip(
        &mut self,
        to: GatewayIndex,
        mut message: GossipMessage,
        actions: &mut Vec<Action>,
    ) {
        if to == self.settings.this_gateway {
            return self.on_quota_messages(to, message, actions);
        }
        let means = self.fleet_means.passed_on();
        message.means =
            FixedPointMeans::new(means.in_flight, self.band.watermark(), means.responses_per_second);
        message.observations = self.recent_observations.to_vec();
        actions.push(Action::SendPeerMessage { to, body: message.encode() });
    }

    /// Adds the message tokens that accrued in `seconds`, the time since the last call.
    pub(crate) fn refill_message_tokens(&mut self, seconds: f64) {
        let Some(gossip) = self.coordination.gossip_mut() else { return };
        let received = gossip.received_per_second(self.clock.now_ms(), RATE_TIME_CONSTANT_S);
        let accepted = self.settings.peer_messages_per_second;
        let accrued = quota_requests_per_second(accepted, received) * seconds;
        gossip.add_message_tokens(accrued, max_message_tokens(accepted));
    }

    /// Measures the band's ready capacity, moves the means that are passed on towards this gateway's own
    /// values, and updates the typical age of attempts. In gossip mode the received means, on which decisions
    /// are based, follow peers' messages alone. In counter and isolated mode they are replaced by the means
    /// that are passed on.
    pub(crate) fn update_means(&mut self) {
        let load = self.band_load();
        self.band.set_ready_capacity(load.ready_capacity);
        let own_in_flight = f64::from(load.in_flight);
        let now_ms = self.clock.now_ms();
        self.fleet_means.apply_own(own_in_flight, now_ms, OWN_MEAN_GAIN_PER_SECOND, RATE_TIME_CONSTANT_S);
        match self.coordination {
            Coordination::Gossip(_) => {}
            // No means are received in these modes, so each other gateway is assumed to have the same values
            // as this one.
            Coordination::Broadcast(_) | Coordination::Counter(_) | Coordination::Isolated => {
                self.fleet_means.use_own_as_received();
            }
        }
        let means = self.fleet_means.received();
        let mean_response_ms = self.latency.mean_response_ms();
        let age_ms = mean_attempt_age_ms(means, mean_response_ms, self.settings.longest_objective_ms());
        self.latency.set_typical_attempt_age_ms(age_ms);
    }
}
