//! Tests that a settings object is translated key by key, and that an invalid one is rejected.

use irishinge_admission::{
    ClassIndex, DedupGroup, GatewayIndex, Idempotency, MachineKindIndex, PlanIndex, ZoneIndex,
};
use irishinge_settings::{
    DeploymentSettings, DiscoveryMode, SettingsDocument, SettingsDocumentError, TranslatedSettings,
};
use serde_json::{json, Value};

/// A valid settings object with every key. Most numbers occur only once, so that a mix-up of two keys shows.
/// A mix-up of keys with equal values does not show: of `me` and `refill`; of `balancers` and the second
/// `worth`; of `tickMs`, `maxAttempts` and `peakUnits`; of the booleans other than `peerMessages`.
fn complete() -> Value {
    json!({
        "balancers": 3, "me": 1, "tickMs": 4.0, "zone": "south", "zones": ["north", "south"], "shapes": ["small", "big"],
        "aKeyOfTomorrow": {"x": 1},
        "classes": [
            {"name": "read", "deadlineMs": 2000.0, "objectiveMs": 800.0, "worth": 1.5, "lateShare": 0.25,
                "repeat": "repeatable"},
            {"name": "order", "deadlineMs": 8000.0, "objectiveMs": 2500.0, "worth": 3.0, "lateShare": 0.5,
                "repeat": "by_key", "dedupScope": "cell", "windowMs": 5000.0}
        ],
        "tiersOfService": [{"name": "basic", "refill": 1.0, "peakUnits": 4.0, "open": 7, "valueFactor": 1.25,
            "overWorth": 0.125, "beyondCosts": 0.75, "neverOverRate": 11.0, "capDepth": 12.0, "hardSlack": 13.0}],
        "discovery": "on_request",
        "ceilings": {"cancel": true, "connIdleMs": 15000.0, "connectTimeoutMs": 250.0, "maxAttempts": 4,
            "maxRetryAfterMs": 500.0, "peerMessages": false, "retryAfter": true, "secondCopies": true},
        "familyInfo": {"mayCount": true, "countLimitMs": 50.0, "mostUnits": 6, "peerInPerS": 60.0},
        "rules": {"coldShare": 0.2, "fallMultiple": 2.5, "stopSendingWithinMs": 350.0, "tipAfterMs": 1100.0,
            "warmUpMs": 9000.0}
    })
}

/// Parses a document whose values have the right types.
fn parse(document: Value) -> SettingsDocument {
    serde_json::from_value(document).expect("values of the right types")
}

/// Returns the error of translating a document.
fn translation_error(document: Value) -> SettingsDocumentError {
    parse(document).translate().expect_err("an invalid document")
}

#[test]
fn every_key_reaches_its_field() {
    let TranslatedSettings { settings, names } = parse(complete()).translate().expect("a valid document");
    assert_eq!((settings.gateways, settings.this_gateway, settings.zone), (3, GatewayIndex(1), ZoneIndex(1)));
    assert_eq!((settings.tick_ms, settings.max_attempts, settings.max_retry_after_ms), (4.0, 4, 500.0));
    assert!(settings.hedging_allowed && settings.cancel_allowed && settings.counter_allowed);
    assert!(!settings.peer_messages_allowed);
    assert_eq!((settings.peer_messages_per_second, settings.max_units), (60.0, 6.0));
    assert_eq!((settings.cold_start_fraction, settings.warm_up_ms), (0.2, 9000.0));
    assert_eq!((settings.overload_multiple, settings.overload_window_ms), (2.5, 1100.0));
    let order = &settings.classes[1];
    assert_eq!((order.latency_objective_ms, order.deadline_ms), (2500.0, 8000.0));
    assert_eq!(order.priority_weight, 3.0);
    assert_eq!(settings.classes[0].idempotency, Idempotency::Idempotent);
    let by_key = Idempotency::IdempotencyKey { group: DedupGroup::Cell, window_ms: 5000.0 };
    assert_eq!(order.idempotency, by_key);
    let plan = &settings.plans[0];
    assert_eq!((plan.rate_per_second, plan.burst_units, plan.concurrency_limit), (1.0, 4.0, 7));
    assert_eq!((plan.plan_weight, plan.over_quota_value, plan.over_quota_cost), (1.25, 0.125, 0.75));
    assert_eq!((plan.ceiling_rate_per_second, plan.ceiling_burst_units), (11.0, 12.0));
    assert_eq!(settings.check(), Ok(()));
    assert_eq!(
        (names.class_index("order"), names.plan_index("basic")),
        (Ok(ClassIndex(1)), Ok(PlanIndex(0)))
    );
    assert_eq!(
        (names.zone_index("south"), names.machine_kind_index("big")),
        (Ok(ZoneIndex(1)), Ok(MachineKindIndex(1)))
    );
}

/// `lateShare` and `hardSlack` are in the settings of every deployment, but nothing reads them. Whatever
/// their values are, the document must not be rejected and the result must stay the same.
#[test]
fn unused_keys_may_have_any_value() {
    let expected = parse(complete()).translate().expect("a valid document").settings;
    for value in [Value::Null, json!(-1.0), json!("unknown")] {
        let mut document = complete();
        document["classes"][1]["lateShare"] = value.clone();
        document["tiersOfService"][0]["hardSlack"] = value;
        document["addedLater"] = json!(true);
        assert_eq!(parse(document).translate().expect("a valid document").settings, expected);
    }
}

#[test]
fn deployment_settings_are_read_from_the_document() {
    let settings = parse(complete()).deployment_settings().expect("a valid document");
    let expected = DeploymentSettings {
        idle_connection_timeout_ms: 15000.0,
        connect_timeout_ms: 250.0,
        retry_after_enabled: true,
        counter_timeout_ms: 50.0,
        discovery_mode: DiscoveryMode::Polled,
        drain_grace_ms: 350.0,
    };
    assert_eq!(settings, expected);
    let mut without_counter = complete();
    without_counter["discovery"] = "pushed".into();
    without_counter["familyInfo"] = json!({"mostUnits": 6, "peerInPerS": 60.0});
    let settings = parse(without_counter).deployment_settings().expect("a valid document");
    assert_eq!((settings.counter_timeout_ms, settings.discovery_mode), (0.0, DiscoveryMode::Pushed));
}

#[test]
fn an_unknown_or_missing_keyword_is_rejected_with_its_class_and_key() {
    let mut unknown_repeat = complete();
    unknown_repeat["classes"][0]["repeat"] = "sometimes".into();
    assert_eq!(
        translation_error(unknown_repeat).to_string(),
        "class read: repeat is sometimes, expected repeatable, by_key or once"
    );
    let mut unknown_scope = complete();
    unknown_scope["classes"][1]["dedupScope"] = "rack".into();
    assert_eq!(
        translation_error(unknown_scope).to_string(),
        "class order: dedupScope is rack, expected all, zone or cell"
    );
    let mut no_scope = complete();
    no_scope["classes"][1]["dedupScope"] = Value::Null;
    assert_eq!(
        translation_error(no_scope).to_string(),
        "class order: dedupScope is none, expected all, zone or cell"
    );
    let mut no_window = complete();
    no_window["classes"][1]["windowMs"] = Value::Null;
    assert_eq!(
        translation_error(no_window).to_string(),
        "class order: windowMs is missing, but repeat is by_key"
    );
    let mut unknown_zone = complete();
    unknown_zone["zone"] = "west".into();
    let zones = vec!["north".to_string(), "south".to_string()];
    let expected = SettingsDocumentError::UnknownZone { zone: "west".into(), zones };
    assert_eq!(expected.to_string(), "zone is west, expected one of zones: north, south");
    assert_eq!(translation_error(unknown_zone), expected);
}

#[test]
fn a_timeout_that_is_not_positive_is_rejected_by_its_key() {
    for (section, key) in
        [("ceilings", "connIdleMs"), ("ceilings", "connectTimeoutMs"), ("familyInfo", "countLimitMs")]
    {
        for (invalid, value) in [(Value::Null, None), (json!(0.0), Some("0")), (json!(-1.0), Some("-1"))] {
            let mut document = complete();
            document[section][key] = invalid;
            let error = parse(document).deployment_settings().expect_err("an invalid timeout");
            let expected = SettingsDocumentError::NotPositive { key, value: value.map(str::to_owned) };
            assert_eq!(error, expected);
            let value = value.unwrap_or("missing");
            assert_eq!(error.to_string(), format!("{key} is {value}, expected a number above 0"));
        }
    }
}

/// The gateway would treat a negative drain grace as 0, which is not what the deployment intends.
#[test]
fn a_negative_drain_grace_is_rejected() {
    let mut document = complete();
    document["rules"]["stopSendingWithinMs"] = json!(-1.0);
    let error = parse(document.clone()).deployment_settings().expect_err("an invalid drain grace");
    assert_eq!(error.to_string(), "stopSendingWithinMs is -1, expected 0 or more");
    document["rules"]["stopSendingWithinMs"] = json!(0.0);
    assert!(parse(document).deployment_settings().is_ok());
}

#[test]
fn an_unknown_discovery_mode_is_rejected() {
    for (value, message) in [
        (json!("by_mail"), "discovery is by_mail, expected pushed or on_request"),
        (Value::Null, "discovery is none, expected pushed or on_request"),
    ] {
        let mut document = complete();
        document["discovery"] = value;
        let error = parse(document).deployment_settings().expect_err("an unknown mode");
        assert_eq!(error.to_string(), message);
    }
}

#[test]
fn the_documented_example_is_valid() {
    let example: Value =
        serde_json::from_str(include_str!("../../../docs/example-config.json")).expect("JSON");
    let document = parse(example["settings"].clone());
    let deployment = document.deployment_settings().expect("valid timeouts and discovery mode");
    assert_eq!(deployment.discovery_mode, DiscoveryMode::Pushed);
    let settings = document.translate().expect("known names and keywords").settings;
    assert_eq!(settings.check(), Ok(()));
}
