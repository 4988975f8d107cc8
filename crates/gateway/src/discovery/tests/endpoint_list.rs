//! The tests of parsing the endpoint list: each field, and entries that are skipped.
use crate::discovery::endpoint_list::{DiscoveredEndpoint, EndpointListUpdate};
use irishinge_admission::{EndpointId, EndpointState, MachineKindIndex, ZoneIndex};
use irishinge_settings::Names;
use serde_json::{json, Value};

/// The current time of the tests, in Unix milliseconds.
const NOW_MS: f64 = 1_000_000.0;

/// The names in the settings: two zones and two kinds of machines.
fn names() -> Names {
    let names = |names: &[&str]| names.iter().map(ToString::to_string).collect();
    Names {
        classes: Vec::new(),
        plans: Vec::new(),
        zones: names(&["a", "b"]),
        machine_kinds: names(&["m", "n"]),
    }
}

/// Parses a complete list with these entries.
fn list(entries: Value) -> EndpointListUpdate {
    serde_json::from_value(json!({"rev": 7, "all": true, "targets": entries})).expect("a list")
}

/// Returns a valid entry in which the fields of `changes` have other values.
fn entry(changes: Value) -> Value {
    let mut entry = json!({"uid": "u1", "endpoint": "127.0.0.1:80", "az": "b", "model": "n", "pod_group": 3,
        "state": "up", "capacity_hint": 1.0, "boot_ms": 5000.0});
    for (name, value) in changes.as_object().expect("an object") {
        entry[name] = value.clone();
    }
    entry
}

/// Returns the endpoint of a list with this entry only, or `None` if the entry is skipped.
fn endpoint(entry: Value) -> Option<DiscoveredEndpoint> {
    list(json!([entry])).endpoints(&names(), NOW_MS).pop()
}

#[test]
fn list_is_complete_only_if_marked() {
    let complete = list(json!([]));
    assert!(complete.revision == 7 && complete.is_complete && complete.is_empty());
    let changes: EndpointListUpdate =
        serde_json::from_value(json!({"rev": 8, "targets": [entry(json!({}))]})).expect("a list");
    assert!(changes.revision == 8 && !changes.is_complete && !changes.is_empty());
}

#[test]
fn entry_fields_are_copied_to_endpoint() {
    let endpoint = endpoint(entry(json!({}))).expect("an endpoint");
    assert_eq!(endpoint.addr.to_string(), "127.0.0.1:80");
    let entry = endpoint.entry;
    assert_eq!((entry.zone, entry.kind, entry.cell), (ZoneIndex(1), MachineKindIndex(1), 3));
    assert_eq!((entry.state, entry.started_at_ms), (EndpointState::Ready, Some(5000.0)));
}

/// If gateways of different versions computed different ids, they would not recognize each other's endpoints.
/// Expected: the id is the FNV-1a hash of the uid, as in earlier versions.
#[test]
fn endpoint_id_is_fnv_1a_hash_of_uid() {
    for (uid, id) in
        [("", 0xcbf2_9ce4_8422_2325), ("a", 0xaf63_dc4c_8601_ec8c), ("foobar", 0x8594_4171_f739_67e8)]
    {
        let endpoint = endpoint(entry(json!({"uid": uid}))).expect("an endpoint");
        assert_eq!(endpoint.entry.id, EndpointId(id), "{uid}");
    }
}

#[test]
fn state_names_are_up_draining_and_removed() {
    let state = |word: &str| endpoint(entry(json!({"state": word}))).map(|endpoint| endpoint.entry.state);
    assert_eq!(state("up"), Some(EndpointState::Ready));
    assert_eq!(state("draining"), Some(EndpointState::Draining));
    assert_eq!(state("removed"), Some(EndpointState::Gone));
    assert_eq!(state("riddle"), None);
}

/// A list has entries with an invalid address, with missing fields, and one that is no object. If one of
/// them made the whole list unusable, the gateway would go on with an old list. Expected: these entries are
/// skipped and the others applied.
#[test]
fn malformed_entries_are_skipped() {
    let entries = json!([
        entry(json!({"endpoint": "nowhere"})),
        "nonsense",
        entry(json!({"uid": "u2"})),
        {"uid": "u3"},
        {"uid": "u4", "endpoint": "127.0.0.1:81", "state": "up"},
    ]);
    let endpoints = list(entries).endpoints(&names(), NOW_MS);
    let ports: Vec<u16> = endpoints.iter().map(|endpoint| endpoint.addr.port()).collect();
    assert_eq!(ports, [80, 81]);
}

#[test]
fn unknown_zones_and_kinds_get_index_after_last_name() {
    let entry = endpoint(entry(json!({"az": "x", "model": ""}))).expect("an endpoint").entry;
    assert_eq!((entry.zone, entry.kind), (ZoneIndex(2), MachineKindIndex(2)));
}

/// Discovery's clock may be ahead of the gateway's. If an endpoint had a start time in the future, slow start
/// would compute a negative capacity. Expected: the start time is at most now, and unknown unless positive.
#[test]
fn start_time_is_unknown_unless_positive_and_at_most_now() {
    let start =
        |boot_ms: f64| endpoint(entry(json!({"boot_ms": boot_ms}))).expect("an endpoint").entry.started_at_ms;
    assert_eq!(start(0.0), None);
    assert_eq!(start(-5.0), None);
    assert_eq!(start(NOW_MS - 1.0), Some(NOW_MS - 1.0));
    assert_eq!(start(NOW_MS + 1.0), Some(NOW_MS));
}
