//! Discovery: the endpoint list, the watch that keeps it current, and the lease under which it may be used.
//!
//! Nothing here knows who uses the list: an [`EndpointListObserver`] is notified of each list and of the
//! lease.
//!
//! - [`endpoint_list`]: the list's JSON and what is read from it.
//! - [`watch`]: the loop that calls discovery over one connection after another.
//! - [`refresh_schedule`]: when the next call is due and how long it may take, by the times of the
//!   [`refresh_policy`], the [`list_lease`] and a [`backoff`] with jitter.
//! - [`list_revision`]: what to request next, and which responses may be applied.
//! - [`lease_expiry`]: reports when the lease runs out.
//! - [`error`]: why a call brought no list, by what it shows of discovery.
mod backoff;
mod endpoint_list;
mod error;
mod lease_expiry;
mod list_lease;
mod list_revision;
mod observer;
mod refresh_policy;
mod refresh_schedule;
#[cfg(test)]
mod tests;
mod watch;

pub(crate) use self::endpoint_list::{DiscoveredEndpoint, EndpointList};
pub(crate) use self::observer::EndpointListObserver;
pub(crate) use self::refresh_policy::RefreshPolicy;
pub(crate) use self::watch::watch_endpoint_list;
