//! The downstream side: the connections of the gateway's clients, their requests and the responses to them.
//!
//! - [`listener`]: accepts connections, within a limit.
//! - [`server`]: serves each accepted connection, and drains them all at the end.
//! - [`connection_table`]: the open connections.
//! - [`connection_limit`]: what becomes of a new connection; [`eviction_order`]: which one is evicted for
//!   it; [`request_rules`]: when a body must be complete, and after which responses a connection closes.
//!   These are the rules, without I/O.
//! - [`connection`]: one connection's stage, and how a disconnect of its client is noticed; [`flood`]
//!   discards what a client sends without waiting for a response.
//! - [`handler`]: takes a request from its head to its response: [`request_parsing`] and [`metering`] parse
//!   it, [`response`] writes what the dispatcher decided.
mod connection;
mod connection_limit;
mod connection_table;
mod eviction_order;
mod flood;
mod handler;
mod listener;
mod metering;
mod request_body;
mod request_error;
mod request_parsing;
mod request_rules;
mod response;
mod server;
mod settings;
mod shared_stream;
#[cfg(test)]
mod tests;

pub(crate) use self::connection_limit::MAX_REJECTING_CONNECTIONS;
pub(crate) use self::server::DownstreamServer;
pub(crate) use self::settings::DownstreamSettings;
