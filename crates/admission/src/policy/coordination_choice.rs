//! In which mode the gateways of a fleet agree on quotas and on attempts in flight.
use crate::policy::peer_messages::report_schedule::broadcast_reaches_all;

/// What the settings say of how gateways may reach each other.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CoordinationModeInput {
    /// How many gateways the fleet has.
    pub(crate) gateways: usize,
    /// Gateways may send each other messages.
    pub(crate) peer_messages_allowed: bool,
    /// Messages per second that a gateway accepts.
    pub(crate) peer_messages_per_second: f64,
    /// Gateways may call the shared quota counter.
    pub(crate) counter_allowed: bool,
}

/// The mode of a fleet. It follows from the settings alone, so that all gateways choose the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CoordinationMode {
    /// Each gateway sends its counts to every other. Also the mode of a single gateway.
    Broadcast,
    /// Each customer's quota has an owner, and means over the fleet travel with the quota messages.
    Gossip,
    /// Quotas are counted by the quota counter, which all gateways call.
    Counter,
    /// Each gateway goes by what it sees itself.
    Isolated,
}

/// Chooses the mode of a fleet.
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
