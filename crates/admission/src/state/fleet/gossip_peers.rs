//! Gossip mode: the other gateways of the fleet, and the message tokens for quota requests to them.
use crate::id::GatewayIndex;
use crate::mechanism::decaying_rate::DecayingRate;
use crate::mechanism::token_bucket::TokenCount;
use crate::messages::gossip_message::GossipMessage;
use crate::settings::Settings;
use crate::state::{peer_indices, GossipPeer, PendingQuotaRequests};
use std::collections::BTreeMap;

/// State of gossip mode: the other gateways, quota requests sent to them, and how many more may be sent.
#[derive(Debug)]
pub(crate) struct Gossip {
    /// The other gateways, by number.
    peers: BTreeMap<GatewayIndex, GossipPeer>,
    /// Quota requests that await a response or a grant, by their number.
    pub(crate) pending_requests: PendingQuotaRequests,
    /// Message tokens. Each quota request to another gateway costs one, to keep messages within what gateways
    /// accept; responses and releases cost none.
    message_tokens: TokenCount,
    /// Rate of received messages that carry quota requests or releases of other gateways, per second.
    received_rate: DecayingRate,
}

impl Gossip {
    /// Creates the state of a gateway that has received and sent nothing. `message_tokens` is the number of
    /// quota requests that it may send at once.
    pub(crate) fn new(settings: &Settings, message_tokens: f64) -> Self {
        Gossip {
            peers: peer_indices(settings).map(|peer| (peer, GossipPeer::default())).collect(),
            pending_requests: PendingQuotaRequests::default(),
            message_tokens: TokenCount::new(message_tokens),
            received_rate: DecayingRate::default(),
        }
    }

    /// Returns whether a gateway is suspected to be down, so that it is sent no quota requests.
    pub(crate) fn is_suspected(&self, gateway: GatewayIndex, now_ms: f64) -> bool {
        self.peers.get(&gateway).is_some_and(|peer| peer.is_suspected(now_ms))
    }

    /// Returns the state of another gateway; `None` for this one.
    pub(crate) fn peer_mut(&mut self, gateway: GatewayIndex) -> Option<&mut GossipPeer> {
        self.peers.get_mut(&gateway)
    }

    /// Returns the message tokens: the number of quota requests that may be sent to other gateways now.
    pub(crate) fn message_tokens(&self) -> f64 {
        self.message_tokens.tokens()
    }

    /// Takes message tokens.
    pub(crate) fn spend_message_tokens(&mut self, tokens: f64) {
        self.message_tokens.take(tokens);
    }

    /// Records a message of a peer. Messages with responses do not count as received: they are caused by this
    /// gateway's own quota requests, whose budget includes their responses.
    pub(crate) fn record_message(
        &mut self,
        from: GatewayIndex,
        message: &GossipMessage,
        now_ms: f64,
        time_constant_s: f64,
    ) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.record_message();
        }
        if message.responses.is_empty() {
            self.received_rate.add(1.0, now_ms, time_constant_s);
        }
    }

    /// Returns the rate of received messages that carry quota requests or releases of other gateways, per
    /// second.
    pub(crate) fn received_per_second(&self, now_ms: f64, time_constant_s: f64) -> f64 {
        self.received_rate.per_second_at(now_ms, time_constant_s)
    }

    /// Adds message tokens, up to a limit.
    pub(crate) fn add_message_tokens(&mut self, tokens: f64, max_tokens: f64) {
        self.message_tokens.add(tokens, max_tokens);
    }
}
