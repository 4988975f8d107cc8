//! The tests of the conversion between times and milliseconds.
use super::*;

/// Settings and library give times as floating-point numbers. A negative one or NaN would panic in the
/// conversion. Expected: zero for those, and the same time both ways for others.
#[test]
fn converts_both_ways_and_tolerates_figures_that_are_no_time() {
    let clock = Clock::start();
    let now = clock.now_ms();
    assert!(clock.now_ms() >= now);
    let later = clock.instant(now + 1500.0) - clock.instant(now);
    assert!((later.as_secs_f64() - 1.5).abs() < 0.001);
    assert_eq!(clock.instant(0.0), clock.start);
    assert_eq!(duration_from_ms(f64::NAN), Duration::ZERO);
    assert_eq!(duration_from_ms(-1.0), Duration::ZERO);
}
