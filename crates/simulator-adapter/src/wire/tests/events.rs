//! Tests that each wire message is translated to the admission library's event.

use crate::wire::input::InputMessage;
use crate::wire::TranslationError;
use irishinge_admission::{
    AttemptEnd, ClassIndex, CounterOutcome, CustomerId, EndpointEntry, EndpointId, EndpointState, Event,
    GatewayIndex, ListUpdateKind, MachineKindIndex, Outcome, PlanIndex, Request, RequestId, ZoneIndex,
};
use irishinge_settings::{NameKind, Names, UnknownName};
use serde_json::{json, Value};

const ENDPOINT: EndpointId = EndpointId(0x0a12_4a07_1b5b);
const REQUEST: RequestId = RequestId(0xabc);

/// The names of two classes, plans, zones and machine kinds.
fn names() -> Names {
    let owned = |names: [&str; 2]| names.map(str::to_owned).to_vec();
    Names {
        classes: owned(["read", "order"]),
        plans: owned(["basic", "large"]),
        zones: owned(["north", "south"]),
        machine_kinds: owned(["small", "big"]),
    }
}

/// Parses a message that is an event and translates it.
fn translate(message: Value) -> Result<Event, TranslationError> {
    match serde_json::from_value(message).expect("a well-formed message") {
        InputMessage::Event(event) => event.into_event(&names()),
        _ => panic!("not an event"),
    }
}

/// A message that reports the end of an attempt. [`attempt_end`] is its translation.
fn result_message(verdict: &str) -> Value {
    json!({"msg": "Result", "job": "0000000000000abc", "verdict": verdict, "charged": 0, "closed": false,
        "timeTakenMs": 18.5, "host": "10.18.74.7:7003", "metered": 0, "sendNo": 2, "load": null})
}

/// The translation of [`result_message`].
fn attempt_end(outcome: Outcome) -> AttemptEnd {
    AttemptEnd {
        request: REQUEST,
        attempt: 2,
        endpoint: ENDPOINT,
        outcome,
        took_ms: 18.5,
        request_closed: false,
        true_units: None,
    }
}

#[test]
fn each_verdict_of_an_attempt_is_translated() {
    let cases = [
        ("OK", Outcome::Ok),
        ("INTERNAL", Outcome::Error),
        ("RESOURCE_EXHAUSTED", Outcome::Overloaded),
        ("DEADLINE_EXCEEDED", Outcome::TimedOut),
        ("UNAVAILABLE", Outcome::ConnectFailed),
        ("ABORTED", Outcome::Reset),
        ("CANCELLED", Outcome::Cancelled),
        ("TOO_LATE", Outcome::NotSent),
    ];
    for (verdict, outcome) in cases {
        assert_eq!(translate(result_message(verdict)), Ok(Event::AttemptEnded(attempt_end(outcome))));
    }
}

/// No rule uses `metered` and `load`, but a malformed value must still be an error.
#[test]
fn an_attempts_units_are_read_and_its_unused_fields_are_validated() {
    let mut message = result_message("OK");
    message["charged"] = 3.into();
    message["metered"] = 86.into();
    message["closed"] = true.into();
    message["load"] = json!({"queue": 3, "util": 0.5});
    let expected = AttemptEnd { request_closed: true, true_units: Some(3.0), ..attempt_end(Outcome::Ok) };
    assert_eq!(translate(message.clone()), Ok(Event::AttemptEnded(expected)));
    for (key, malformed) in [("load", json!({"queue": "long"})), ("metered", json!("much"))] {
        let mut message = message.clone();
        message[key] = malformed;
        assert!(serde_json::from_value::<InputMessage>(message).is_err(), "{key}");
    }
}

#[test]
fn each_list_update_kind_and_endpoint_state_is_translated() {
    let kinds = [
        ("patch", ListUpdateKind::Changes),
        ("whole", ListUpdateKind::Complete),
        ("stale_copy", ListUpdateKind::Cached),
        ("broken", ListUpdateKind::Failed),
    ];
    for (written, kind) in kinds {
        let message = json!({"msg": "Targets", "gen": 1, "kind": written, "hosts": []});
        assert_eq!(translate(message), Ok(Event::EndpointList { kind, entries: Vec::new() }));
    }
    let states =
        [("IN", EndpointState::Ready), ("LAME", EndpointState::Draining), ("OUT", EndpointState::Gone)];
    for (written, state) in states {
        let host = json!({"host": "10.18.74.7:7003", "area": "south", "familyType": "big", "stripe": 4,
            "health": written, "share": 1, "bornMs": 6100.0});
        let entry = EndpointEntry {
            id: ENDPOINT,
            zone: ZoneIndex(1),
            kind: MachineKindIndex(1),
            cell: 4,
            state,
            started_at_ms: Some(6100.0),
        };
        let message = json!({"msg": "Targets", "gen": 1, "kind": "whole", "hosts": [host]});
        let expected = Event::EndpointList { kind: ListUpdateKind::Complete, entries: vec![entry] };
        assert_eq!(translate(message), Ok(expected));
    }
}

#[test]
fn names_in_a_request_are_replaced_by_indexes() {
    let message = json!({"msg": "Demand", "job": "0000000000000abc", "category": "order", "tariff": "large",
        "member": "91f03b7c55d20a64", "timeLeftMs": 240.0, "weight": 2, "spread": 3, "fromNo": 1, "resent": true,
        "write": true});
    let expected = Request {
        id: REQUEST,
        class: ClassIndex(1),
        plan: PlanIndex(1),
        customer: CustomerId(0x91f0_3b7c_55d2_0a64),
        time_left_ms: 240.0,
        units: 2.0,
        gateway_count: 3,
        first_gateway: GatewayIndex(1),
        is_client_retry: true,
    };
    assert_eq!(translate(message.clone()), Ok(Event::Request(expected)));
    let mut unknown = message;
    unknown["category"] = "refund".into();
    let error = UnknownName { kind: NameKind::Class, name: "refund".to_owned() };
    assert_eq!(translate(unknown), Err(TranslationError::UnknownName(error)));
}

#[test]
fn each_verdict_of_the_counter_is_translated() {
    let reply = |verdict: &str, total: Value| {
        translate(
            json!({"msg": "CounterReply", "book": 9, "total": total, "timeTakenMs": 2.15, "verdict": verdict}),
        )
    };
    let event = |outcome| Ok(Event::CounterReply { name: 9, outcome });
    assert_eq!(reply("OK", json!(38)), event(CounterOutcome::Total(38.0)));
    assert_eq!(reply("RESOURCE_EXHAUSTED", Value::Null), event(CounterOutcome::Rejected));
    assert_eq!(reply("UNAVAILABLE", Value::Null), event(CounterOutcome::Rejected));
    assert_eq!(reply("DEADLINE_EXCEEDED", Value::Null), event(CounterOutcome::Unanswered));
    assert_eq!(reply("OK", Value::Null), Err(TranslationError::CounterReplyWithoutTotal));
}

#[test]
fn timer_disconnect_and_peer_messages_are_translated() {
    assert_eq!(translate(json!({"msg": "Bell", "name": 77})), Ok(Event::Timer { token: 77 }));
    assert_eq!(
        translate(json!({"msg": "Hangup", "job": "0000000000000abc"})),
        Ok(Event::ClientDisconnected { request: REQUEST })
    );
    assert_eq!(
        translate(json!({"msg": "NoteFrom", "neighbour": 3, "data": "hi 7"})),
        Ok(Event::PeerMessage { from: GatewayIndex(3), body: "hi 7".to_owned() })
    );
}

/// No decision depends on two kinds of messages: the beginning of a response and the end of a health check.
/// They only advance the time, but a malformed one must be an error like any other malformed message.
#[test]
fn unused_messages_are_validated_and_only_advance_the_time() {
    let opened = json!({"msg": "Opened", "job": "0000000000000abc", "sendNo": 2, "host": "10.18.74.7:7003",
        "timeTakenMs": 9.25});
    let health_check_done = json!({"msg": "Echo", "host": "10.18.74.7:7003", "verdict": "UNAVAILABLE",
        "timeTakenMs": 1.5, "load": {"queue": 3}});
    let cases = [
        (opened, vec![("job", json!("not hex")), ("sendNo", json!(-1)), ("host", json!("nowhere"))]),
        (
            health_check_done,
            vec![
                ("host", json!("nowhere")),
                ("verdict", json!("SURPRISE")),
                ("timeTakenMs", json!("soon")),
                ("load", json!({"queue": "long"})),
            ],
        ),
    ];
    for (message, malformed) in cases {
        assert_eq!(translate(message.clone()), Ok(Event::TimeAdvanced));
        for (key, value) in malformed {
            let mut malformed_message = message.clone();
            malformed_message[key] = value;
            assert!(serde_json::from_value::<InputMessage>(malformed_message).is_err(), "{key} of {message}");
        }
    }
}

/// A kill ends a gateway's process, so the library must not receive it as an event.
#[test]
fn a_kill_is_not_an_event() {
    let message: InputMessage = serde_json::from_value(json!({"msg": "CrashNow"})).expect("a message");
    assert!(matches!(message, InputMessage::Kill));
}
