//! Tests that each action is written in the wire format.

use crate::wire::ids::EndpointAddress;
use crate::wire::output::OutputMessage;
use irishinge_admission::{Action, GatewayIndex, RequestId};

#[test]
fn every_action_is_written_under_its_wire_name() {
    let request = RequestId(0xb0da_aa49_5d3a_91c4);
    let address = "10.144.17.242:7044".to_owned();
    let EndpointAddress(endpoint) = address.try_into().expect("an endpoint");
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
        (
            Action::SendPeerMessage { to: GatewayIndex(0), body: "hi 7".into() },
            r#"{"msg":"Announce","target":0,"data":"hi 7"}"#,
        ),
        (
            Action::SendPeerMessage { to: GatewayIndex(2), body: "hi".into() },
            r#"{"msg":"Announce","target":2,"data":"hi"}"#,
        ),
        (Action::SetTimer { at_ms: 8912.25, token: 77 }, r#"{"msg":"WakeMe","momentMs":8912.25,"name":77}"#),
        (
            Action::AddToCounter { name: 9_041_552, amount: 4.0, ttl_ms: 3000.0 },
            r#"{"msg":"PostAmount","book":9041552,"n":4.0,"ttlMs":3000.0}"#,
        ),
    ];
    for (action, expected) in cases {
        assert_eq!(serde_json::to_string(&OutputMessage::from(action)).expect("plain data"), expected);
    }
}
