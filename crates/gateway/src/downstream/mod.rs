//! The downstream side: accepts clients' connections, reads their requests and writes the responses.
//!
//! - [`listener`] accepts connections, up to a limit.
//! - [`server`] serves each accepted connection, and drains all of them on shutdown; [`server_phase`] says
//!   how far the shutdown is.
//! - [`connection_table`] holds the open connections.
//! - [`connection`] tracks the stage of one connection, with the help of [`client_socket`];
//!   [`client_disconnect`] detects that its client has disconnected, and [`flood`] discards the bytes of a
//!   client that keeps sending without waiting for a response, and [`unread_responses`] closes connections
//!   whose clients do not read while memory is short.
//! - [`handler`] takes a request from its head to its response: [`request_parsing`] and [`metering`] parse
//!   the head, [`request_body`] reads the body, and [`response`] builds the response from the dispatcher's
//!   decision. [`request_error`] lists why a request is invalid, and
//!   [`disconnect_guard`] ends the request of a client that disconnects.
//! - Three modules contain rules without I/O: [`connection_limit`] decides whether a new connection is
//!   served, rejected or closed, [`eviction_order`] which connection is evicted for it, and
//!   [`request_rules`] when a body must be complete, after which responses a connection closes, and how.
mod client_disconnect;
mod client_socket;
mod connection;
mod connection_limit;
mod connection_table;
mod disconnect_guard;
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
mod server_phase;
mod settings;
#[cfg(test)]
mod tests;
mod unread_responses;

pub(crate) use self::connection_limit::MAX_REJECTING_CONNECTIONS;
pub(crate) use self::server::DownstreamServer;
pub(crate) use self::settings::DownstreamSettings;
