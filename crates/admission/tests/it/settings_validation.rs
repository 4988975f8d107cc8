//! Invalid settings are rejected when a gateway starts.
use crate::common::*;
use irishinge_admission::*;

/// Settings have no class or no plan, a gateway index outside the fleet, or a value that is negative or
/// not a number. A gateway that started with them would fail at its first request, or make wrong decisions
/// without any sign of it. It does not start, and the error says what is missing or names the setting that
/// is out of range. Of the values, `tick_ms` and `rate_per_second` are tested.
#[test]
fn invalid_settings_are_rejected_with_a_typed_error() {
    let error_of = |change: fn(&mut Settings)| {
        let mut settings = broadcast_settings(Idempotency::Idempotent);
        change(&mut settings);
        Gateway::new(settings, SEED, 0.0).err()
    };
    assert_eq!(error_of(|s| s.classes.clear()), Some(SettingsError::NoClasses));
    assert_eq!(error_of(|s| s.plans.clear()), Some(SettingsError::NoPlans));
    assert_eq!(error_of(|s| s.this_gateway = GatewayIndex(2)), Some(SettingsError::NotAmongGateways));
    assert_eq!(error_of(|s| s.tick_ms = f64::NAN), Some(SettingsError::OutOfRange("tick_ms")));
    assert_eq!(
        error_of(|s| s.plans[0].rate_per_second = -1.0),
        Some(SettingsError::OutOfRange("rate_per_second"))
    );
}
