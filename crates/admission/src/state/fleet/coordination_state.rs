//! The mode in which a fleet agrees on quotas and on attempts in flight, with the state of that mode.
use crate::state::{Broadcast, BroadcastPeer, CounterCalls, Gossip};

/// The mode in which the fleet's gateways agree on quotas and on attempts in flight, with the state of that
/// mode. The mode is chosen once, when the gateway starts. It depends on the settings alone, so that all
/// gateways choose the same.
#[derive(Debug, Default)]
pub(crate) enum Coordination {
    /// Each gateway sends its counts to every other. This is also the mode of a single gateway.
    Broadcast(Broadcast),
    /// One gateway owns each customer's quota, and means over the fleet travel with the quota messages.
    Gossip(Gossip),
    /// Gateways may not send each other messages, and enforce quotas through the quota counter.
    Counter(CounterCalls),
    /// Gateways may use neither messages nor the counter, so that each decides from its own records alone.
    #[default]
    Isolated,
}

/// The two ways in which gateways know of each other's attempts in flight, each with its own set of rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FleetMode {
    /// Each gateway knows the counts of every other.
    Broadcast,
    /// Every mode but broadcast, that is, gossip, counter and isolated mode, whatever the fleet's size.
    /// Gateways use means over the fleet, received or assumed.
    LargeFleet,
}

impl Coordination {
    /// Returns which set of rules applies to this gateway.
    pub(crate) fn fleet_mode(&self) -> FleetMode {
        match self {
            Coordination::Broadcast(_) => FleetMode::Broadcast,
            Coordination::Gossip(_) | Coordination::Counter(_) | Coordination::Isolated => {
                FleetMode::LargeFleet
            }
        }
    }

    /// Returns the peers whose counts were received within the time-out; none in the other three modes.
    pub(crate) fn live_peers(&self, now_ms: f64, timeout_ms: f64) -> impl Iterator<Item = &BroadcastPeer> {
        let broadcast = match self {
            Coordination::Broadcast(broadcast) => Some(broadcast),
            _ => None,
        };
        broadcast.into_iter().flat_map(move |broadcast| broadcast.live_peers(now_ms, timeout_ms))
    }

    /// Returns the state of gossip mode; `None` in the other three modes.
    pub(crate) fn gossip(&self) -> Option<&Gossip> {
        match self {
            Coordination::Gossip(gossip) => Some(gossip),
            _ => None,
        }
    }

    /// Returns the state of gossip mode, mutably; `None` in the other three modes.
    pub(crate) fn gossip_mut(&mut self) -> Option<&mut Gossip> {
        match self {
            Coordination::Gossip(gossip) => Some(gossip),
            _ => None,
        }
    }
}
