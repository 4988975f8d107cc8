//! The downstream side: the connections of the gateway's clients, their requests and the answers to them.
mod server;
#[cfg(test)]
mod tests;

pub(crate) use self::server::{DownstreamServer, MAX_REFUSING_CONNECTIONS};
