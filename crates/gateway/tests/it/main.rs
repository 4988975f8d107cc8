//! The gateway as a process on loopback sockets, between a discovery, endpoints, a counter and clients that
//! the tests play; a file for each concern.
mod common;

mod attempts;
mod client_connections;
mod client_disconnects;
mod descriptors;
mod disconnect_variants;
mod discovery;
mod discovery_push;
mod list_lease;
mod peers;
mod quota_counter;
mod reload;
mod requests;
mod shutdown;
mod startup;
mod upstream_connections;
