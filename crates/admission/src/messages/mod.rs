//! Codecs of the messages between gateways.
pub(crate) mod base64_digits;
pub(crate) mod counts;
pub(crate) mod gossip;
pub(crate) mod observation;
pub(crate) mod quota;
