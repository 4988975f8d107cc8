//! Invalid settings are rejected when a gateway starts.
use crate::common::*;
use irishinge_admission::*;

/// Sets one of the settings to a value.
type Setter = fn(&mut Settings, f64);

/// Each setting that must be in a range, in the order of the checks: the name under which it is reported, and
/// its setter.
const CHECKED_SETTINGS: [(&str, Setter); 19] = [
    ("latency_objective_ms", |s, value| s.classes[0].latency_objective_ms = value),
    ("deadline_ms", |s, value| s.classes[0].deadline_ms = value),
    ("priority_weight", |s, value| s.classes[0].priority_weight = value),
    ("window_ms", |s, value| {
        s.classes[0].idempotency = Idempotency::IdempotencyKey { group: DedupGroup::All, window_ms: value };
    }),
    ("rate_per_second", |s, value| s.plans[0].rate_per_second = value),
    ("burst_units", |s, value| s.plans[0].burst_units = value),
    ("over_quota_value", |s, value| s.plans[0].over_quota_value = value),
    ("over_quota_cost", |s, value| s.plans[0].over_quota_cost = value),
    ("plan_weight", |s, value| s.plans[0].plan_weight = value),
    ("ceiling_rate_per_second", |s, value| s.plans[0].ceiling_rate_per_second = value),
    ("ceiling_burst_units", |s, value| s.plans[0].ceiling_burst_units = value),
    ("tick_ms", |s, value| s.tick_ms = value),
    ("peer_messages_per_second", |s, value| s.peer_messages_per_second = value),
    ("max_retry_after_ms", |s, value| s.max_retry_after_ms = value),
    ("max_units", |s, value| s.max_units = value),
    ("cold_start_fraction", |s, value| s.cold_start_fraction = value),
    ("warm_up_ms", |s, value| s.warm_up_ms = value),
    ("overload_multiple", |s, value| s.overload_multiple = value),
    ("overload_window_ms", |s, value| s.overload_window_ms = value),
];

/// Returns the error with which a gateway rejects the settings that result from this change.
fn error_after(change: impl FnOnce(&mut Settings)) -> Option<SettingsError> {
    let mut settings = broadcast_settings(Idempotency::Idempotent);
    change(&mut settings);
    Gateway::new(settings, SEED, 0.0).err()
}

/// Settings have no class or no plan, a gateway index outside the fleet, or a value that is negative or
/// not a number. A gateway that started with them would fail at its first request, or make wrong decisions
/// without any sign of it. It does not start, and the error says what is missing or names the setting that
/// is out of range.
#[test]
fn invalid_settings_are_rejected_with_a_typed_error() {
    assert_eq!(error_after(|s| s.classes.clear()), Some(SettingsError::NoClasses));
    assert_eq!(error_after(|s| s.plans.clear()), Some(SettingsError::NoPlans));
    assert_eq!(error_after(|s| s.this_gateway = GatewayIndex(2)), Some(SettingsError::NotAmongGateways));
    assert_eq!(error_after(|s| s.tick_ms = f64::NAN), Some(SettingsError::OutOfRange("tick_ms")));
    assert_eq!(
        error_after(|s| s.plans[0].rate_per_second = -1.0),
        Some(SettingsError::OutOfRange("rate_per_second"))
    );
}

/// Several settings are checked alike, and an error that named another setting than the one out of range
/// would make an operator correct the wrong one. No setting may be negative, infinite or not a number.
#[test]
fn each_setting_out_of_range_is_reported_under_its_own_name() {
    for (name, set) in CHECKED_SETTINGS {
        for value in [-1.0, f64::NAN, f64::INFINITY] {
            let error = error_after(|s| set(s, value));
            assert_eq!(error, Some(SettingsError::OutOfRange(name)), "{name} = {value}");
        }
    }
}

/// The latency objective and the deadline must be above 0, and the cold-start fraction is at most 1. Every
/// other setting may be 0 and has no maximum.
#[test]
fn zero_and_large_values_are_accepted_unless_the_setting_excludes_them() {
    let check = |set: Setter, value| {
        let mut settings = broadcast_settings(Idempotency::Idempotent);
        set(&mut settings, value);
        settings.check()
    };
    for (name, set) in CHECKED_SETTINGS {
        let out_of_range = Err(SettingsError::OutOfRange(name));
        let must_be_positive = ["latency_objective_ms", "deadline_ms"].contains(&name);
        let at_zero = if must_be_positive { out_of_range.clone() } else { Ok(()) };
        assert_eq!(check(set, 0.0), at_zero, "{name}");
        assert_eq!(check(set, f64::MIN_POSITIVE), Ok(()), "{name}");
        assert_eq!(check(set, 1.0), Ok(()), "{name}");
        let above_one = if name == "cold_start_fraction" { out_of_range } else { Ok(()) };
        assert_eq!(check(set, 1.0 + f64::EPSILON), above_one, "{name}");
        assert_eq!(check(set, f64::MAX), above_one, "{name}");
    }
}

/// With several settings out of range, the error is about the one that is checked first.
#[test]
fn first_checked_setting_out_of_range_is_reported() {
    for (first, (name, _)) in CHECKED_SETTINGS.iter().enumerate() {
        let error = error_after(|s| CHECKED_SETTINGS[first..].iter().for_each(|(_, set)| set(s, -1.0)));
        assert_eq!(error, Some(SettingsError::OutOfRange(name)), "{name} and all after it");
    }
}
