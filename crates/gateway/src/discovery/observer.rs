//! The interface through which the watch reports the endpoint list and its lease.
use super::endpoint_list::EndpointListUpdate;
use irishinge_admission::ListUpdateKind;
use tokio::time::Instant;

/// Receives the endpoint list and the changes of its lease.
pub(crate) trait EndpointListObserver {
    /// Called with each update of the list: with the complete list or the changes that discovery returned,
    /// and at startup with the list that was cached before a restart, if there is one.
    fn list_received(&self, kind: ListUpdateKind, list: EndpointListUpdate);

    /// Called with the time at which the lease expires: at the start, at each renewal, and when the lease is
    /// shortened. Never called if lists have no lease.
    fn lease_updated(&self, expires_at: Instant);

    /// Called when the lease has expired. No request may be sent to the endpoints of the list until the next
    /// list is received.
    fn lease_expired(&self);
}
