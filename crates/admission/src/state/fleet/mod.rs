//! State of the fleet: its other gateways, the mode in which they coordinate, and the in-flight band.
mod band_state;
mod broadcast_peer;
mod broadcast_peers;
mod coordination_state;
mod fleet_means;
mod gateway_set;
mod gossip_peer;
mod gossip_peers;

pub(crate) use band_state::{BandLoad, BandPosition, BroadcastBand, InFlightBand};
pub(crate) use broadcast_peer::BroadcastPeer;
pub(crate) use broadcast_peers::Broadcast;
pub(crate) use coordination_state::{Coordination, FleetMode};
pub(crate) use fleet_means::{FleetMeans, GatewayMeans};
pub(crate) use gateway_set::{peer_indices, GatewaySet, RankedGateway};
pub(crate) use gossip_peer::GossipPeer;
pub(crate) use gossip_peers::Gossip;
