//! The rise and fall of the watermark.
use super::is_close;
use crate::policy::band::dispatch_credit::LargeFleetBand;
use crate::policy::band::watermark::{
    bounded_watermark, watermark_after_step, watermark_floor_in_broadcast_mode,
    watermark_floor_in_large_fleet, watermark_step_in_broadcast_mode, watermark_step_in_large_fleet,
    watermark_step_is_due, WatermarkInput, WatermarkStep,
};

const LOWER: WatermarkStep = WatermarkStep::Lower { factor: 0.93 };

/// The input of a step, with a latency objective of 1 s and requests that waited for the band.
fn input(objective_fraction: f64, typical_attempt_age_ms: f64) -> WatermarkInput {
    WatermarkInput {
        objective_fraction,
        typical_attempt_age_ms,
        shortest_objective_ms: 1000.0,
        was_blocked: true,
    }
}

/// The band of a large fleet that is filled to `fill` of its middle of 100 attempts in flight.
fn large_fleet_band(fill: f64) -> LargeFleetBand {
    LargeFleetBand { mean_in_flight: 10.0 * fill, gateways: 10, watermark: 4.0, ready_capacity: 25.0 }
}

/// Returns whether a step raises the watermark by the expected factor.
fn raises_by(step: WatermarkStep, expected: f64) -> bool {
    matches!(step, WatermarkStep::Raise { factor } if is_close(factor, expected))
}

#[test]
fn watermark_floor_is_2_or_4_and_a_step_is_due_after_0_12_objectives() {
    assert_eq!((watermark_floor_in_broadcast_mode(), watermark_floor_in_large_fleet()), (2.0, 4.0));
    assert!(watermark_step_is_due(120.0, 1000.0) && !watermark_step_is_due(119.0, 1000.0));
}

#[test]
fn slow_responses_or_old_attempts_lower_the_watermark_in_broadcast_mode() {
    let step = |response, age_ms| watermark_step_in_broadcast_mode(&input(response, age_ms));
    assert_eq!((step(0.37, 0.0), step(0.35, 0.0)), (LOWER, WatermarkStep::Stay));
    // The age has a weight of 1.5: 250 ms count as 0.375 objectives, 230 ms as 0.345.
    assert_eq!((step(0.0, 250.0), step(0.0, 230.0)), (LOWER, WatermarkStep::Stay));
}

#[test]
fn fast_responses_raise_the_watermark_in_broadcast_mode_if_requests_wait() {
    assert!(raises_by(watermark_step_in_broadcast_mode(&input(0.0, 0.0)), 1.4));
    assert!(raises_by(watermark_step_in_broadcast_mode(&input(0.13, 0.0)), 1.2));
    let unblocked = WatermarkInput { was_blocked: false, ..input(0.13, 0.0) };
    assert_eq!(watermark_step_in_broadcast_mode(&unblocked), WatermarkStep::Stay);
}

#[test]
fn large_fleet_has_higher_thresholds_and_raises_above_credit_threshold() {
    let step = |input, fill| watermark_step_in_large_fleet(&input, &large_fleet_band(fill));
    // The thresholds are 0.39 and 0.54 objectives. The age has a weight of 0.9: 610 ms count as 0.549
    // objectives.
    assert_eq!((step(input(0.55, 0.0), 0.0), step(input(0.53, 0.0), 0.0)), (LOWER, WatermarkStep::Stay));
    assert_eq!((step(input(0.0, 610.0), 0.0), step(input(0.0, 590.0), 0.0)), (LOWER, WatermarkStep::Stay));
    assert!(raises_by(step(input(0.195, 0.0), 0.0), 1.2));
    let unblocked = WatermarkInput { was_blocked: false, ..input(0.195, 0.0) };
    assert!(raises_by(step(unblocked, 0.61), 1.2));
    assert_eq!(step(unblocked, 0.59), WatermarkStep::Stay);
}

#[test]
fn watermark_stays_between_the_floor_and_64() {
    let raise = WatermarkStep::Raise { factor: 1.4 };
    let cases =
        [(10.0, raise, 14.0), (60.0, raise, 64.0), (2.1, LOWER, 2.0), (1.0, WatermarkStep::Stay, 1.0)];
    for (watermark, step, expected) in cases {
        assert_eq!(watermark_after_step(watermark, step, 2.0), expected, "{watermark}, {step:?}");
    }
    assert_eq!([1.0, 30.0, 70.0].map(|reported| bounded_watermark(reported, 4.0)), [4.0, 30.0, 64.0]);
}
