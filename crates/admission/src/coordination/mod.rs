//! How gateways exchange what they know of the fleet, and which of four ways this fleet uses.
pub(crate) mod broadcast;
pub(crate) mod counter_calls;
pub(crate) mod gossip;
pub(crate) mod observations;
pub(crate) mod quota_grants;
pub(crate) mod quota_requests;

use crate::policy::coordination::broadcast_reaches_all;
use crate::settings::Settings;

/// The way in which the fleet's gateways agree on quotas and on attempts in flight. It follows from the
/// settings alone, so that it is settled once, when the gateway starts, and is the same on all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Coordination {
    /// A small fleet: each gateway sends its counts to every other. Also a gateway that is the only one.
    #[default]
    Broadcast,
    /// A large fleet: one gateway owns each customer's quota, and fleet-wide means travel with the quota
    /// messages.
    Gossip,
    /// Gateways may not send each other messages. Quotas are held through the shared counter.
    Counter,
    /// Gateways may use neither messages nor the counter. Each decides by what it sees itself.
    Isolated,
}

impl Coordination {
    /// The way that a fleet with these settings uses.
    pub(crate) fn from_settings(settings: &Settings) -> Self {
        if broadcast_reaches_all(settings) {
            Coordination::Broadcast
        } else if settings.peer_messages_allowed {
            Coordination::Gossip
        } else if settings.counter_allowed {
            Coordination::Counter
        } else {
            Coordination::Isolated
        }
    }

    /// Whether each gateway knows every other's counts. In the other three ways a gateway goes by fleet-wide
    /// means instead.
    pub(crate) fn is_broadcast(&self) -> bool {
        *self == Coordination::Broadcast
    }

    /// Whether gateways exchange fleet-wide means, and ask the owner of a customer's quota.
    pub(crate) fn exchanges_gossip(&self) -> bool {
        *self == Coordination::Gossip
    }
}
