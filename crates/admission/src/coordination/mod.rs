//! How gateways exchange what they know.
pub(crate) mod broadcast;
pub(crate) mod gossip;
pub(crate) mod quota_protocol;
