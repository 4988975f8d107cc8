//! How discovery reports to those who act on the endpoint list, without knowing them.
use super::endpoint_list::EndpointList;
use irishinge_admission::ListUpdateKind;
use tokio::time::Instant;

/// Who acts on the endpoint list.
pub(crate) trait EndpointListObserver {
    /// Discovery has answered with the complete list or with the changes to it.
    fn list_received(&self, kind: ListUpdateKind, list: EndpointList);

    /// The list may be used until `until`. Called at the start and at each renewal, and when the lease is
    /// shortened.
    fn lease_updated(&self, until: Instant);

    /// The lease has run out: nothing may be sent by the list until the next one is received.
    fn lease_expired(&self);
}
