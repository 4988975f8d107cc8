//! The tests of the conversion between times and milliseconds.
use super::*;

/// The settings and the admission library give times as floating-point numbers, and the conversion of a
/// negative number or NaN would panic. Expected: these become zero, and other times are converted exactly.
#[test]
fn milliseconds_convert_both_ways_and_invalid_values_become_zero() {
    let clock = Clock::start();
    let now = clock.now_ms();
    assert!(clock.now_ms() >= now);
    let later = clock.instant(now + 1500.0) - clock.instant(now);
    assert!((later.as_secs_f64() - 1.5).abs() < 0.001);
    assert_eq!(clock.instant(0.0), clock.start);
    assert_eq!(duration_from_ms(f64::NAN), Duration::ZERO);
    assert_eq!(duration_from_ms(-1.0), Duration::ZERO);
}
