//! The set of gateways that a customer's requests come through.
use crate::event::Request;
use crate::id::{CustomerTag, GatewayIndex};
use crate::mechanism::splitmix64::mix;
use crate::settings::Settings;

/// Numbers of the other gateways of the fleet.
pub(crate) fn peer_indices(settings: &Settings) -> impl Iterator<Item = GatewayIndex> {
    let me = settings.this_gateway;
    (0..settings.gateways).map(GatewayIndex).filter(move |gateway| *gateway != me)
}

/// Some gateways of the fleet, consecutive by number; gateway 0 follows the last one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct GatewaySet {
    /// The first gateway.
    first: GatewayIndex,
    /// How many gateways the set has.
    len: usize,
    /// How many gateways the fleet has.
    fleet: usize,
}

/// A gateway and its rank for one customer. The gateway of the lowest rank in a set owns the customer's
/// quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RankedGateway {
    /// The rank, evenly spread over all gateways and customers.
    pub(crate) rank: u64,
    /// The gateway's number.
    pub(crate) gateway: GatewayIndex,
}

impl RankedGateway {
    /// The gateway's rank by rendezvous hashing: every gateway computes the same.
    fn new(tag: CustomerTag, gateway: GatewayIndex) -> Self {
        RankedGateway { rank: mix(tag.0 ^ mix(gateway.0 as u64)), gateway }
    }
}

impl GatewaySet {
    /// `len` gateways from `first` on, of a fleet of `fleet`; at least one and at most the whole fleet.
    pub(crate) fn new(first: GatewayIndex, len: usize, fleet: usize) -> Self {
        GatewaySet { first: GatewayIndex(first.0 % fleet), len: len.clamp(1, fleet), fleet }
    }

    /// The gateways that the requests of a request's customer come through.
    pub(crate) fn of_request(request: &Request, fleet: usize) -> Self {
        GatewaySet::new(request.first_gateway, request.gateway_count, fleet)
    }

    /// The same as `new`, but `None` where the first gateway or the number of gateways is not of the fleet.
    pub(crate) fn try_new(first: GatewayIndex, len: usize, fleet: usize) -> Option<Self> {
        (first.0 < fleet && (1..=fleet).contains(&len)).then_some(GatewaySet { first, len, fleet })
    }

    /// The first gateway.
    pub(crate) fn first(&self) -> GatewayIndex {
        self.first
    }

    /// How many gateways the set has.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Whether a gateway is among the set.
    pub(crate) fn contains(&self, gateway: GatewayIndex) -> bool {
        (gateway.0 + self.fleet - self.first.0) % self.fleet < self.len
    }

    /// A gateway's position in the set for a customer, from 0. It is rotated by the customer's tag, so that
    /// the first positions fall to other gateways for other customers.
    pub(crate) fn rotated_position(&self, tag: CustomerTag, gateway: GatewayIndex) -> u32 {
        let distance = gateway.0 + self.fleet - self.first.0;
        (distance as u32).wrapping_add(tag.short()) % self.len as u32
    }

    /// The set's gateways.
    pub(crate) fn members(&self) -> impl Iterator<Item = GatewayIndex> {
        let GatewaySet { first, len, fleet } = *self;
        (0..len).map(move |step| GatewayIndex((first.0 + step) % fleet))
    }

    /// The set's gateways with their ranks for a customer, in the order of their numbers.
    pub(crate) fn rendezvous_ranking(&self, tag: CustomerTag) -> impl Iterator<Item = RankedGateway> {
        self.members().map(move |gateway| RankedGateway::new(tag, gateway))
    }

    /// How many of the set's gateways come before a gateway in a customer's ranking.
    pub(crate) fn ranking_position(&self, tag: CustomerTag, gateway: GatewayIndex) -> usize {
        let rank = RankedGateway::new(tag, gateway).rank;
        self.rendezvous_ranking(tag).filter(|other| other.rank < rank).count()
    }
}
