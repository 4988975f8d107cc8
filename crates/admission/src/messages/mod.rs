//! Codecs of the messages between gateways.
pub(crate) mod base64_digits;
pub(crate) mod counts_message;
pub(crate) mod fixed_point;
pub(crate) mod gossip_message;
pub(crate) mod message_entry;
pub(crate) mod observation_code;
pub(crate) mod quota_message;
