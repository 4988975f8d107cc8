//! Gossip mode: the other gateways of the fleet, and the message tokens for quota requests to them.
use crate::id::GatewayIndex;
use crate::mechanism::decaying_rate::DecayingRate;
use crate::mechanism::token_bucket::TokenCount;
use crate::messages::gossip_message::GossipMessage;
use crate::settings::Settings;
use crate::state::{peer_indices, GossipPeer, PendingQuotaRequests};
use std::collections::BTreeMap;

/// What a gateway knows of the others in gossip mode, and how many quota requests it may send them.
#[derive(Debug)]
pub(crate) struct Gossip {
    /// The other gateways, by number.
    peers: BTreeMap<GatewayIndex, GossipPeer>,
    /// Quota requests that wait for a response.
    pub(crate) requests: PendingQuotaRequests,
    /// Message tokens: each quota request costs one, so that no gateway is sent more messages than it
    /// accepts.
    message_tokens: TokenCount,
    /// Messages per second with others' quota requests and releases.
    received_rate: DecayingRate,
}

impl Gossip {
    /// A gateway that has received nothing and sent nothing yet, and that may send so many quota requests at
    /// once.
    pub(crate) fn new(settings: &Settings, message_tokens: f64) -> Self {
        Gossip {
            peers: peer_indices(settings).map(|peer| (peer, GossipPeer::default())).collect(),
            requests: PendingQuotaRequests::default(),
            message_tokens: TokenCount::new(message_tokens),
            received_rate: DecayingRate::default(),
        }
    }

    /// Whether a gateway is sent no quota requests now.
    pub(crate) fn is_suspected(&self, gateway: GatewayIndex, now_ms: f64) -> bool {
        self.peers.get(&gateway).is_some_and(|peer| peer.is_suspected(now_ms))
    }

    /// Another gateway; `None` for this one.
    pub(crate) fn peer_mut(&mut self, gateway: GatewayIndex) -> Option<&mut GossipPeer> {
        self.peers.get_mut(&gateway)
    }

    /// Message tokens: quota requests that may be sent now.
    pub(crate) fn message_tokens(&self) -> f64 {
        self.message_tokens.tokens()
    }

    /// Takes message tokens.
    pub(crate) fn spend_message_tokens(&mut self, tokens: f64) {
        self.message_tokens.take(tokens);
    }

    /// Records a message of a peer. Messages with responses do not count as received: own quota requests
    /// cause them, and the budget of these plans for their responses.
    pub(crate) fn record_message(
        &mut self,
        from: GatewayIndex,
        message: &GossipMessage,
        now_ms: f64,
        span_s: f64,
    ) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.record_message();
        }
        if message.responses.is_empty() {
            self.received_rate.add(1.0, now_ms, span_s);
        }
    }

    /// Messages per second with others' quota requests and releases.
    pub(crate) fn received_per_second(&self, now_ms: f64, span_s: f64) -> f64 {
        self.received_rate.now(now_ms, span_s)
    }

    /// Adds message tokens, up to a limit.
    pub(crate) fn add_message_tokens(&mut self, tokens: f64, max_tokens: f64) {
        self.message_tokens.add(tokens, max_tokens);
    }
}
