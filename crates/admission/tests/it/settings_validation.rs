//! Settings that no gateway can act on are rejected at its start.
use crate::common::*;
use irishinge_admission::*;

#[test]
fn unsound_settings_give_a_typed_error() {
    let error_of = |change: fn(&mut Settings)| {
        let mut settings = broadcast_settings(Idempotency::Idempotent);
        change(&mut settings);
        Gateway::new(settings, SEED, 0.0).err()
    };
    assert_eq!(error_of(|s| s.classes.clear()), Some(SettingsError::NoClasses));
    assert_eq!(error_of(|s| s.plans.clear()), Some(SettingsError::NoPlans));
    assert_eq!(error_of(|s| s.me = GatewayIndex(2)), Some(SettingsError::NotAmongGateways));
    assert_eq!(error_of(|s| s.tick_ms = f64::NAN), Some(SettingsError::BadFigure("tick_ms")));
    assert_eq!(
        error_of(|s| s.plans[0].rate_per_second = -1.0),
        Some(SettingsError::BadFigure("rate_per_second"))
    );
}
