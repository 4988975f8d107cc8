//! Configurations and endpoint lists, as the JSON that the gateway reads.
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Returns an entry of an endpoint list; `state` is `up`, `draining` or `removed`.
pub(crate) fn endpoint_entry(uid: &str, addr: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": addr.to_string(), "az": "a", "model": "m", "pod_group": 0, "state": state,
        "capacity_hint": 1.0, "boot_ms": 0})
}

/// Returns a complete endpoint list of revision `rev`.
pub(crate) fn complete_list(rev: u64, entries: &[Value]) -> Value {
    json!({"rev": rev, "all": true, "targets": entries})
}

/// Returns the changes to an endpoint list that lead to revision `rev`.
pub(crate) fn changes(rev: u64, entries: &[Value]) -> Value {
    json!({"rev": rev, "all": false, "targets": entries})
}

/// Returns the configuration of a gateway that starts with the initial endpoint list `known`, of revision 1.
/// A test may change the configuration before the gateway starts.
pub(crate) fn config(discovery: SocketAddr, known: &[Value]) -> Value {
    let class = |name: &str, repeat: &str| {
        json!({"name": name, "deadlineMs": 20000.0, "objectiveMs": 10000.0, "worth": 1.0, "lateShare": 0.0,
            "repeat": repeat, "dedupScope": "all", "windowMs": 4000.0})
    };
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "peer_listen": null, "peers": [], "counter": null,
        "known": complete_list(1, known),
        "settings": {
            "discovery": "on_request", "balancers": 1, "me": 0, "tickMs": 4.0, "zone": "a",
            "zones": ["a", "b"], "shapes": ["m"],
            "classes": [class("read", "repeatable"), class("post", "by_key"), class("once", "once")],
            "tiersOfService": [{"name": "basic", "refill": 10.0, "peakUnits": 8.0, "open": 0,
                "valueFactor": 1.0, "overWorth": 0.0, "beyondCosts": 1.0, "neverOverRate": 0.0,
                "capDepth": 0.0, "hardSlack": 0.0}],
            "ceilings": {"cancel": true, "connIdleMs": 60000.0, "connectTimeoutMs": 5000.0, "maxAttempts": 4,
                "maxRetryAfterMs": 2000.0, "peerMessages": true, "retryAfter": false, "secondCopies": true},
            "familyInfo": {"mostUnits": 4, "peerInPerS": 40.0},
            "rules": {"coldShare": 0.2, "fallMultiple": 2.0, "stopSendingWithinMs": 1000.0,
                "tipAfterMs": 1500.0, "warmUpMs": 9000.0}
        }
    })
}

/// Configures the gateway as one of two that must not send each other messages but may call the quota counter
/// at `counter`.
pub(crate) fn use_quota_counter(config: &mut Value, counter: SocketAddr) {
    config["counter"] = json!(counter.to_string());
    config["settings"]["balancers"] = json!(2);
    config["settings"]["ceilings"]["peerMessages"] = json!(false);
    config["settings"]["familyInfo"] =
        json!({"mostUnits": 4, "peerInPerS": 0.0, "mayCount": true, "countLimitMs": 20000.0});
}
