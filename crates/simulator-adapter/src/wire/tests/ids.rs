//! Tests that ids and addresses are written exactly as they were read, or are rejected.

use crate::wire::ids::{EndpointAddress, HexId, IdError};
use irishinge_admission::EndpointId;

fn endpoint_address(text: &str) -> Result<EndpointAddress, IdError> {
    EndpointAddress::try_from(text.to_owned())
}

/// The simulator would not recognize an endpoint whose address was written differently than it was read, for
/// example `10.0.0.1:0700` as `10.0.0.1:700`.
#[test]
fn an_endpoint_address_that_would_not_round_trip_is_rejected() {
    assert!(endpoint_address("10.0.0.1:0700").is_err());
    assert!(endpoint_address("10.0.0.1").is_err());
    assert_eq!(
        endpoint_address("10.0.0.1:700").map(|address| address.to_string()),
        Ok("10.0.0.1:700".to_owned())
    );
}

/// The simulator would not recognize a request or customer whose id was written differently than it was read.
#[test]
fn an_id_that_would_not_round_trip_is_rejected() {
    let parse = |text: &str| HexId::try_from(text.to_owned());
    for text in ["not hex", "abc", "+000000000000abc", "0000000000000ABC", "00000000000000abc"] {
        assert_eq!(parse(text), Err(IdError::InvalidHexId(text.to_owned())));
    }
    assert_eq!(parse("0000000000000abc").map(|id| id.to_string()), Ok("0000000000000abc".to_owned()));
}

#[test]
fn an_endpoint_id_holds_address_and_port() {
    let EndpointAddress(id) = endpoint_address("10.18.74.7:7003").expect("an endpoint");
    assert_eq!(id, EndpointId(0x0a12_4a07_1b5b));
    assert_eq!(EndpointAddress(id).to_string(), "10.18.74.7:7003");
}
