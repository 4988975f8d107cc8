//! Discovery: the endpoint list, the watch that keeps it current, and the lease under which it may be used.
//!
//! Nothing here knows who uses the list. News goes to an [`EndpointListObserver`].
pub(crate) mod endpoint_list;
mod refresh_policy;
#[cfg(test)]
mod tests;
mod watch;

pub(crate) use self::endpoint_list::{DiscoveredEndpoint, EndpointList};
pub(crate) use self::refresh_policy::RefreshPolicy;
pub(crate) use self::watch::{watch_endpoint_list, EndpointListObserver};
