//! The choice of the mode in which the gateways of a fleet coordinate quotas and attempts in flight.
use crate::policy::peer_messages::report_schedule::broadcast_reaches_all;

/// The settings that determine the coordination mode.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CoordinationModeInput {
    /// Number of gateways in the fleet.
    pub(crate) gateways: usize,
    /// Whether gateways may send messages to each other.
    pub(crate) peer_messages_allowed: bool,
    /// Messages per second that a gateway accepts.
    pub(crate) peer_messages_per_second: f64,
    /// Whether gateways may call the quota counter.
    pub(crate) counter_allowed: bool,
}

/// The coordination mode of a fleet. It depends on the settings alone, so that all gateways choose the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CoordinationMode {
    /// Each gateway sends its counts to every other gateway. This is also the mode of a single gateway. The
    /// other three modes share the rules for a large fleet, see `FleetMode`.
    Broadcast,
    /// One gateway owns each customer's quota. Quota messages also carry means over the fleet.
    Gossip,
    /// The quota counter, which all gateways call, counts the quotas.
    Counter,
    /// Gateways do not communicate: each decides by its own records.
    Isolated,
}

/// Chooses the coordination mode of a fleet.
pub(crate) fn choose_coordination_mode(fleet: CoordinationModeInput) -> CoordinationMode {
    let accepted_per_second = if fleet.peer_messages_allowed { fleet.peer_messages_per_second } else { 0.0 };
    if broadcast_reaches_all(fleet.gateways, accepted_per_second) {
        CoordinationMode::Broadcast
    } else if fleet.peer_messages_allowed {
        CoordinationMode::Gossip
    } else if fleet.counter_allowed {
        CoordinationMode::Counter
    } else {
        CoordinationMode::Isolated
    }
}
