//! Identifiers of requests, customers and endpoints, indexes of classes and plans in the settings, and
//! numbers of gateways, zones and kinds of machines.

/// A request's id, unique among all requests that one gateway is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A customer's id, the same at every gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub u64);

/// The key of a customer's record at a gateway. In a large fleet it is the customer's whole id. In broadcast
/// mode it is the customer's tag, a hash of the id of 24 bits that represents the customer in messages
/// between gateways; customers with the same tag share one record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct CustomerKey(pub(crate) u64);

impl CustomerKey {
    /// Returns the key, in broadcast mode, of a customer that a message names by its tag.
    pub(crate) fn from_tag(tag: u32) -> Self {
        CustomerKey(u64::from(tag))
    }

    /// Returns the low 32 bits of the key. In broadcast mode these are the customer's tag, which has 24 bits.
    /// In a large fleet they are the low 32 bits of its id.
    pub(crate) fn low_32_bits(self) -> u32 {
        self.0 as u32
    }
}

/// An endpoint's id, the same at every gateway and after a restart of its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// A request class: its index among the classes of the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ClassIndex(pub usize);

/// A plan: its index among the plans of the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct PlanIndex(pub usize);

/// A gateway of the fleet, by its number: from 0 to below `Settings::gateways`, the same at every gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct GatewayIndex(pub usize);

/// A zone, by its number, from 0. The host program assigns the numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ZoneIndex(pub usize);

/// A kind of machine that endpoints run on, by its number, from 0. The host program assigns the numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct MachineKindIndex(pub usize);
