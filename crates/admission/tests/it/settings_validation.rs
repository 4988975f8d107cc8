//! Invalid settings are rejected when a gateway starts.
use crate::common::*;
use irishinge_admission::*;

/// Sets one of the settings to a value.
type Setter = fn(&mut Settings, f64);

/// Changes the settings.
type Change = fn(&mut Settings);

/// Each setting that must be in a range, in the order of the checks: the name and the range with which it is
/// reported, and its setter.
const CHECKED_SETTINGS: [(&str, SettingRange, Setter); 19] = [
    ("latency_objective_ms", SettingRange::Positive, |s, value| s.classes[0].latency_objective_ms = value),
    ("deadline_ms", SettingRange::Positive, |s, value| s.classes[0].deadline_ms = value),
    ("priority_weight", SettingRange::NonNegative, |s, value| s.classes[0].priority_weight = value),
    ("window_ms", SettingRange::NonNegative, |s, value| {
        s.classes[0].idempotency = Idempotency::IdempotencyKey { group: DedupGroup::All, window_ms: value };
    }),
    ("rate_per_second", SettingRange::NonNegative, |s, value| s.plans[0].rate_per_second = value),
    ("burst_units", SettingRange::NonNegative, |s, value| s.plans[0].burst_units = value),
    ("over_quota_value", SettingRange::NonNegative, |s, value| s.plans[0].over_quota_value = value),
    ("over_quota_cost", SettingRange::NonNegative, |s, value| s.plans[0].over_quota_cost = value),
    ("plan_weight", SettingRange::NonNegative, |s, value| s.plans[0].plan_weight = value),
    ("ceiling_rate_per_second", SettingRange::NonNegative, |s, value| {
        s.plans[0].ceiling_rate_per_second = value;
    }),
    ("ceiling_burst_units", SettingRange::NonNegative, |s, value| s.plans[0].ceiling_burst_units = value),
    ("tick_ms", SettingRange::NonNegative, |s, value| s.tick_ms = value),
    ("peer_messages_per_second", SettingRange::NonNegative, |s, value| s.peer_messages_per_second = value),
    ("max_retry_after_ms", SettingRange::NonNegative, |s, value| s.max_retry_after_ms = value),
    ("max_units", SettingRange::NonNegative, |s, value| s.max_units = value),
    ("cold_start_fraction", SettingRange::Fraction, |s, value| s.cold_start_fraction = value),
    ("warm_up_ms", SettingRange::NonNegative, |s, value| s.warm_up_ms = value),
    ("overload_multiple", SettingRange::NonNegative, |s, value| s.overload_multiple = value),
    ("overload_window_ms", SettingRange::NonNegative, |s, value| s.overload_window_ms = value),
];

/// Returns the error with which a gateway rejects the settings that result from this change.
fn error_after(change: impl FnOnce(&mut Settings)) -> Option<SettingsError> {
    let mut settings = broadcast_settings(Idempotency::Idempotent);
    change(&mut settings);
    Gateway::new(settings, SEED, 0.0).err()
}

/// Returns the name, the bits of the value and the range from an error about a value out of range, `None` for
/// any other error. Bits are compared because a NaN is not equal to itself.
fn out_of_range(error: Option<SettingsError>) -> Option<(&'static str, u64, SettingRange)> {
    match error {
        Some(SettingsError::OutOfRange { name, value, range }) => Some((name, value.to_bits(), range)),
        _ => None,
    }
}

/// Settings have no class or no plan, a gateway index outside the fleet, or a value that is negative or
/// not a number. A gateway that started with them would fail at its first request, or make wrong decisions
/// without any sign of it. It does not start, and the error says what is missing or names the setting that
/// is out of range.
#[test]
fn invalid_settings_are_rejected_with_a_typed_error() {
    assert_eq!(error_after(|s| s.classes.clear()), Some(SettingsError::NoClasses));
    assert_eq!(error_after(|s| s.plans.clear()), Some(SettingsError::NoPlans));
    assert_eq!(
        error_after(|s| s.this_gateway = GatewayIndex(2)),
        Some(SettingsError::NotAmongGateways { number: 2, gateways: 2 })
    );
    assert_eq!(
        out_of_range(error_after(|s| s.tick_ms = f64::NAN)),
        Some(("tick_ms", f64::NAN.to_bits(), SettingRange::NonNegative))
    );
    assert_eq!(
        error_after(|s| s.plans[0].rate_per_second = -1.0),
        Some(SettingsError::OutOfRange {
            name: "rate_per_second",
            value: -1.0,
            range: SettingRange::NonNegative
        })
    );
}

/// The text is all that an operator sees of the error. It says the value found and what was expected.
#[test]
fn error_text_says_the_value_found_and_what_was_expected() {
    let cases: [(Change, &str); 6] = [
        (|s| s.max_units = -1.0, "max_units is -1, expected a finite number of at least 0"),
        (|s| s.tick_ms = f64::NAN, "tick_ms is NaN, expected a finite number of at least 0"),
        (|s| s.warm_up_ms = f64::INFINITY, "warm_up_ms is inf, expected a finite number of at least 0"),
        (
            |s| s.classes[0].latency_objective_ms = 0.0,
            "latency_objective_ms is 0, expected a finite number above 0",
        ),
        (|s| s.cold_start_fraction = 1.5, "cold_start_fraction is 1.5, expected a number from 0 to 1"),
        (
            |s| s.this_gateway = GatewayIndex(3),
            "this gateway's number is 3, expected a number below 2, the number of gateways",
        ),
    ];
    for (change, text) in cases {
        assert_eq!(error_after(change).expect("the settings are rejected").to_string(), text);
    }
}

/// Several settings are checked alike, and an error that named another setting than the one out of range
/// would make an operator correct the wrong one. No setting may be negative, infinite or not a number.
#[test]
fn each_setting_out_of_range_is_reported_under_its_own_name() {
    for (name, range, set) in CHECKED_SETTINGS {
        for value in [-1.0, f64::NAN, f64::INFINITY] {
            let error = out_of_range(error_after(|s| set(s, value)));
            assert_eq!(error, Some((name, value.to_bits(), range)), "{name} = {value}");
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
    for (name, range, set) in CHECKED_SETTINGS {
        let error_at = |value| Err(SettingsError::OutOfRange { name, value, range });
        let must_be_positive = ["latency_objective_ms", "deadline_ms"].contains(&name);
        let at_zero = if must_be_positive { error_at(0.0) } else { Ok(()) };
        assert_eq!(check(set, 0.0), at_zero, "{name}");
        assert_eq!(check(set, f64::MIN_POSITIVE), Ok(()), "{name}");
        assert_eq!(check(set, 1.0), Ok(()), "{name}");
        for value in [1.0 + f64::EPSILON, f64::MAX] {
            let above_one = if name == "cold_start_fraction" { error_at(value) } else { Ok(()) };
            assert_eq!(check(set, value), above_one, "{name}");
        }
    }
}

/// With several settings out of range, the error is about the one that is checked first.
#[test]
fn first_checked_setting_out_of_range_is_reported() {
    for (first, (name, range, _)) in CHECKED_SETTINGS.iter().enumerate() {
        let error = error_after(|s| CHECKED_SETTINGS[first..].iter().for_each(|(_, _, set)| set(s, -1.0)));
        let expected = SettingsError::OutOfRange { name, value: -1.0, range: *range };
        assert_eq!(error, Some(expected), "{name} and all after it");
    }
}
