//! The set of gateways that a customer's requests come through.
use crate::event::Request;
use crate::id::{CustomerKey, GatewayIndex};
use crate::mechanism::splitmix64::mix;
use crate::settings::Settings;

/// Returns the numbers of the other gateways of the fleet.
pub(crate) fn peer_indices(settings: &Settings) -> impl Iterator<Item = GatewayIndex> {
    let me = settings.this_gateway;
    (0..settings.gateways).map(GatewayIndex).filter(move |gateway| *gateway != me)
}

/// A set of gateways with consecutive numbers; gateway 0 follows the last one of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct GatewaySet {
    /// First gateway of the set.
    first: GatewayIndex,
    /// Number of gateways in the set.
    len: usize,
    /// Number of gateways in the fleet.
    fleet_size: usize,
}

/// A gateway and its rank for one customer. Of the gateways in a set, the one of the lowest rank that is not
/// suspected to be down owns the customer's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RankedGateway {
    /// The rank, evenly distributed over all gateways and customers.
    pub(crate) rank: u64,
    /// The gateway's number.
    pub(crate) gateway: GatewayIndex,
}

impl RankedGateway {
    /// Computes the gateway's rank by rendezvous hashing; every gateway computes the same one.
    fn new(key: CustomerKey, gateway: GatewayIndex) -> Self {
        RankedGateway { rank: mix(key.0 ^ mix(gateway.0 as u64)), gateway }
    }
}

impl GatewaySet {
    /// Creates the set of `len` gateways from `first` on, in a fleet of `fleet_size`. The set has at least
    /// one gateway and at most the whole fleet.
    pub(crate) fn new(first: GatewayIndex, len: usize, fleet_size: usize) -> Self {
        GatewaySet { first: GatewayIndex(first.0 % fleet_size), len: len.clamp(1, fleet_size), fleet_size }
    }

    /// Returns the set of gateways that the requests of this request's customer come through.
    pub(crate) fn of_request(request: &Request, fleet_size: usize) -> Self {
        GatewaySet::new(request.first_gateway, request.gateway_count, fleet_size)
    }

    /// Creates the same set as `new`; `None` if the first gateway is not in the fleet, or the set would be
    /// empty or larger than the fleet.
    pub(crate) fn try_new(first: GatewayIndex, len: usize, fleet_size: usize) -> Option<Self> {
        (first.0 < fleet_size && (1..=fleet_size).contains(&len)).then_some(GatewaySet {
            first,
            len,
            fleet_size,
        })
    }

    /// Returns the first gateway.
    pub(crate) fn first(&self) -> GatewayIndex {
        self.first
    }

    /// Returns the number of gateways in the set.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns whether a gateway is in the set.
    pub(crate) fn contains(&self, gateway: GatewayIndex) -> bool {
        (gateway.0 + self.fleet_size - self.first.0) % self.fleet_size < self.len
    }

    /// Returns a gateway's position in the set for a customer, from 0. Positions are rotated by the low bits
    /// of the customer's key, so that different customers have different gateways in the first positions.
    ///
    /// Two gateways can have the same position if the set continues at gateway 0 after the fleet's last one,
    /// unless the set's size divides the fleet's: the distance from the first gateway is not reduced modulo
    /// the fleet's size.
    pub(crate) fn rotated_position(&self, key: CustomerKey, gateway: GatewayIndex) -> u32 {
        let distance = gateway.0 + self.fleet_size - self.first.0;
        (distance as u32).wrapping_add(key.low_32_bits()) % self.len as u32
    }

    /// Returns the set's gateways, in the order of their numbers from the first one on.
    pub(crate) fn members(&self) -> impl Iterator<Item = GatewayIndex> {
        let GatewaySet { first, len, fleet_size } = *self;
        (0..len).map(move |step| GatewayIndex((first.0 + step) % fleet_size))
    }

    /// Returns the set's gateways with their ranks for a customer, in the same order as `members`.
    pub(crate) fn rendezvous_ranking(&self, key: CustomerKey) -> impl Iterator<Item = RankedGateway> {
        self.members().map(move |gateway| RankedGateway::new(key, gateway))
    }

    /// Returns a gateway's position in a customer's ranking: the number of the set's gateways with a lower
    /// rank, 0 for the one of lowest rank.
    pub(crate) fn ranking_position(&self, key: CustomerKey, gateway: GatewayIndex) -> usize {
        let rank = RankedGateway::new(key, gateway).rank;
        self.rendezvous_ranking(key).filter(|other| other.rank < rank).count()
    }
}
