//! The written form of actions, ids and addresses.

use super::ids::{EndpointAddress, HexId, IdError};
use super::output::OutputMessage;
use irishinge_admission::{Action, EndpointId, RequestId};

fn endpoint_address(text: &str) -> Result<EndpointAddress, IdError> {
    EndpointAddress::try_from(text.to_owned())
}

#[test]
fn every_action_is_written_under_its_wire_name() {
    let request = RequestId(0xb0da_aa49_5d3a_91c4);
    let EndpointAddress(endpoint) = endpoint_address("10.144.17.242:7044").expect("an endpoint");
    let cases = [
        (
            Action::Send { request, endpoint, timeout_ms: 80.0 },
            r#"{"msg":"Route","job":"b0daaa495d3a91c4","tryForMs":80.0,"host":"10.144.17.242:7044"}"#,
        ),
        (
            Action::Reject { request, retry_after_ms: Some(250.0) },
            r#"{"msg":"Decline","job":"b0daaa495d3a91c4","retryAfterMs":250.0}"#,
        ),
        (Action::Reject { request, retry_after_ms: None }, r#"{"msg":"Decline","job":"b0daaa495d3a91c4"}"#),
        (Action::Fail { request }, r#"{"msg":"Error","job":"b0daaa495d3a91c4"}"#),
        (Action::Cancel { request, attempt: 0 }, r#"{"msg":"Recall","job":"b0daaa495d3a91c4","sendNo":0}"#),
        (Action::Probe { endpoint }, r#"{"msg":"Test","host":"10.144.17.242:7044"}"#),
        (Action::CloseIdle { endpoint }, r#"{"msg":"LetGo","host":"10.144.17.242:7044"}"#),
        (
            Action::SendPeerMessage { to: None, body: "hi 7".into() },
            r#"{"msg":"Announce","target":-1,"data":"hi 7"}"#,
        ),
        (
            Action::SendPeerMessage { to: Some(2), body: "hi".into() },
            r#"{"msg":"Announce","target":2,"data":"hi"}"#,
        ),
        (Action::SetTimer { at_ms: 8912.25, token: 77 }, r#"{"msg":"WakeMe","momentMs":8912.25,"name":77}"#),
        (
            Action::AddToCounter { name: 9_041_552, amount: 4.0, ttl_ms: 3000.0 },
            r#"{"msg":"PostAmount","book":9041552,"n":4.0,"ttlMs":3000.0}"#,
        ),
        (Action::Subscribe { active: true }, r#"{"msg":"Follow","active":true}"#),
        (Action::FetchList, r#"{"msg":"Refresh"}"#),
        (Action::Log { line: "two endpoints".into() }, r#"{"msg":"Emit","line":"two endpoints"}"#),
    ];
    for (action, expected) in cases {
        assert_eq!(serde_json::to_string(&OutputMessage::from(action)).expect("plain data"), expected);
    }
}

#[test]
fn an_endpoint_address_that_would_not_round_trip_is_refused() {
    assert!(endpoint_address("10.0.0.1:0700").is_err());
    assert!(endpoint_address("10.0.0.1").is_err());
    assert_eq!(
        endpoint_address("10.0.0.1:700").map(|address| address.to_string()),
        Ok("10.0.0.1:700".to_owned())
    );
}

#[test]
fn an_id_that_would_not_round_trip_is_refused() {
    let parse = |text: &str| HexId::try_from(text.to_owned());
    for text in ["not hex", "abc", "+000000000000abc", "0000000000000ABC", "00000000000000abc"] {
        assert_eq!(parse(text), Err(IdError::NotHexadecimal(text.to_owned())));
    }
    assert_eq!(parse("0000000000000abc").map(|id| id.to_string()), Ok("0000000000000abc".to_owned()));
}

#[test]
fn an_endpoint_id_holds_address_and_port() {
    let EndpointAddress(id) = endpoint_address("10.18.74.7:7003").expect("an endpoint");
    assert_eq!(id, EndpointId(0x0a12_4a07_1b5b));
    assert_eq!(EndpointAddress(id).to_string(), "10.18.74.7:7003");
}
