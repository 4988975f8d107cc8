//! What discovery reports upward: the endpoints of a list, and for how long the list holds. It lies below discovery
//! and below those who act on its reports, so that neither knows the other.
use irishinge_admission::{EndpointEntry, ListKind};
use std::net::SocketAddr;
use tokio::time::Instant;

/// An endpoint as the decision library and the connection pool need it.
pub(crate) struct DiscoveredEndpoint {
    /// For the decision library.
    pub entry: EndpointEntry,
    /// Where it listens.
    pub addr: SocketAddr,
}

/// Receives what discovery has learned.
pub(crate) trait EndpointListObserver {
    /// A list, or changes to one, has come.
    fn on_endpoint_list(&self, kind: ListKind, endpoints: Vec<DiscoveredEndpoint>);

    /// The present list holds until `until`, unless this is reported again: nothing may be sent by it from then on.
    fn on_lease_extended(&self, until: Instant);

    /// The list's lease has expired. Reported once until it is extended again.
    fn on_lease_expired(&self);
}
