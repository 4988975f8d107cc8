//! The client of discovery, the service that publishes the endpoint list: a watch keeps the list current,
//! and a lease limits how long the list may be used.
//!
//! This module does not depend on the users of the list: it notifies an [`EndpointListObserver`] of each
//! list and of each change of the lease.
//!
//! - [`endpoint_list`]: parses updates of the list from discovery's JSON.
//! - [`watch`]: the loop that long-polls discovery over one connection after another.
//! - [`refresh_schedule`]: decides when the next call starts and how long it may take, from the
//!   [`refresh_policy`], the [`list_lease`] and a [`backoff`] with jitter.
//! - [`list_revision`]: what to request next, and which responses may be applied.
//! - [`lease_expiry`]: reports when the lease expires.
//! - [`error`]: the reasons for which a call returns no list, grouped by what they show about discovery.
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

pub(crate) use self::endpoint_list::{DiscoveredEndpoint, EndpointListUpdate};
pub(crate) use self::observer::EndpointListObserver;
pub(crate) use self::refresh_policy::RefreshPolicy;
pub(crate) use self::watch::watch_endpoint_list;
