//! The mode in which a fleet agrees on quotas and on attempts in flight, with the state that only this mode
//! has.
use crate::state::{Broadcast, BroadcastPeer, CounterCalls, Gossip};

/// The mode in which the fleet's gateways agree on quotas and on attempts in flight, with the state that only
/// this mode has. It follows from the settings alone, so that it is chosen once, when the gateway starts, and
/// is the same on all gateways.
#[derive(Debug, Default)]
pub(crate) enum Coordination {
    /// Each gateway sends its counts to every other. Also the mode of a single gateway.
    Broadcast(Broadcast),
    /// One gateway owns each customer's quota, and means over the fleet travel with the quota messages.
    Gossip(Gossip),
    /// Gateways may not send each other messages, and enforce quotas through the shared counter.
    Counter(CounterCalls),
    /// Gateways may use neither messages nor the counter. Each decides by its own figures.
    #[default]
    Isolated,
}

/// The two ways in which gateways know of each other's attempts, where rules differ by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FleetMode {
    /// Each gateway knows every other's counts.
    Broadcast,
    /// Gateways go by means over the fleet, received or assumed: gossip, counter and isolated mode.
    LargeFleet,
}

impl Coordination {
    /// Which of the two sets of rules this gateway goes by.
    pub(crate) fn fleet_mode(&self) -> FleetMode {
        match self {
            Coordination::Broadcast(_) => FleetMode::Broadcast,
            Coordination::Gossip(_) | Coordination::Counter(_) | Coordination::Isolated => {
                FleetMode::LargeFleet
            }
        }
    }

    /// Peers whose counts were received within the time-out; none in the other three modes.
    pub(crate) fn live_peers(&self, now_ms: f64, timeout_ms: f64) -> impl Iterator<Item = &BroadcastPeer> {
        let broadcast = match self {
            Coordination::Broadcast(broadcast) => Some(broadcast),
            _ => None,
        };
        broadcast.into_iter().flat_map(move |broadcast| broadcast.live_peers(now_ms, timeout_ms))
    }

    /// The state of gossip mode; `None` in the other three modes.
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
