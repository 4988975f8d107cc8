//! Ids and addresses, which must be written exactly as they were read.

use irishinge_admission::EndpointId;
use serde::{Deserialize, Serialize, Serializer};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};

/// The number of low bits of an [`EndpointId`] that hold the port. The IPv4 address is above them.
const PORT_BITS: u32 = u16::BITS;

/// The reason why a string is not an id or address that can be written exactly as it was read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum IdError {
    /// The string is not 16 lower-case hex digits.
    #[error("not an id of 16 lower-case hex digits: {0}")]
    InvalidHexId(String),
    /// The string is not an IPv4 address and port in canonical form.
    #[error("not an IPv4 address and port in canonical form: {0}")]
    InvalidEndpointAddress(String),
}

/// The id of a request or customer: 16 lower-case hex digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub(crate) struct HexId(pub(crate) u64);

impl TryFrom<String> for HexId {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, IdError> {
        match u64::from_str_radix(&text, 16).map(HexId) {
            Ok(id) if id.to_string() == text => Ok(id),
            _ => Err(IdError::InvalidHexId(text)),
        }
    }
}

impl fmt::Display for HexId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl Serialize for HexId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// An endpoint, written as `address:port`. In the simulator an endpoint has the same address at every
/// gateway, so the admission library's id is made of the address and port, and no table is needed to
/// translate it back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub(crate) struct EndpointAddress(pub(crate) EndpointId);

impl TryFrom<String> for EndpointAddress {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, IdError> {
        match text.parse::<SocketAddrV4>() {
            Ok(address) if address.to_string() == text => {
                let ip = u64::from(u32::from(*address.ip()));
                Ok(EndpointAddress(EndpointId(ip << PORT_BITS | u64::from(address.port()))))
            }
            _ => Err(IdError::InvalidEndpointAddress(text)),
        }
    }
}

impl fmt::Display for EndpointAddress {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let EndpointId(id) = self.0;
        let ip = Ipv4Addr::from((id >> PORT_BITS) as u32);
        SocketAddrV4::new(ip, id as u16).fmt(formatter)
    }
}

impl Serialize for EndpointAddress {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
