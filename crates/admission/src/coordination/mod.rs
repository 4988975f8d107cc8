//! How gateways exchange what they know of the fleet, and which of four ways this fleet uses.
pub(crate) mod broadcast;
pub(crate) mod counter_calls;
pub(crate) mod gossip;
pub(crate) mod observations;
pub(crate) mod quota_grants;
pub(crate) mod quota_requests;

use crate::coordination::broadcast::Broadcast;
use crate::coordination::gossip::Gossip;
use crate::policy::coordination::broadcast_reaches_all;
use crate::settings::Settings;
use crate::state::counter_account::CounterCalls;
use crate::state::peer::BroadcastPeer;

/// The way in which the fleet's gateways agree on quotas and on attempts in flight, with the state that only
/// this way has. It follows from the settings alone, so that it is settled once, when the gateway starts, and
/// is the same on all gateways.
#[derive(Debug, Default)]
pub(crate) enum Coordination {
    /// A small fleet: each gateway sends its counts to every other. Also a gateway that is the only one.
    Broadcast(Broadcast),
    /// A large fleet: one gateway owns each customer's quota, and fleet-wide means travel with the quota
    /// messages.
    Gossip(Gossip),
    /// Gateways may not send each other messages. Quotas are held through the shared counter.
    Counter(CounterCalls),
    /// Gateways may use neither messages nor the counter. Each decides by what it sees itself.
    #[default]
    Isolated,
}

impl Coordination {
    /// The way that a fleet with these settings uses.
    pub(crate) fn from_settings(settings: &Settings) -> Self {
        if broadcast_reaches_all(settings) {
            Coordination::Broadcast(Broadcast::new(settings))
        } else if settings.peer_messages_allowed {
            Coordination::Gossip(Gossip::new(settings))
        } else if settings.counter_allowed {
            Coordination::Counter(CounterCalls::new())
        } else {
            Coordination::Isolated
        }
    }

    /// Whether each gateway knows every other's counts. In the other three ways a gateway goes by fleet-wide
    /// means instead.
    pub(crate) fn is_broadcast(&self) -> bool {
        matches!(self, Coordination::Broadcast(_))
    }

    /// Peers whose counts were received within the time-out; none in the other three ways.
    pub(crate) fn live_peers(&self, now_ms: f64, timeout_ms: f64) -> impl Iterator<Item = &BroadcastPeer> {
        let broadcast = match self {
            Coordination::Broadcast(broadcast) => Some(broadcast),
            _ => None,
        };
        broadcast.into_iter().flat_map(move |broadcast| broadcast.live_peers(now_ms, timeout_ms))
    }

    /// The state of a fleet that exchanges gossip; `None` in the other three ways.
    pub(crate) fn gossip(&self) -> Option<&Gossip> {
        match self {
            Coordination::Gossip(gossip) => Some(gossip),
            _ => None,
        }
    }

    /// The same, to be changed.
    pub(crate) fn gossip_mut(&mut self) -> Option<&mut Gossip> {
        match self {
            Coordination::Gossip(gossip) => Some(gossip),
            _ => None,
        }
    }
}
