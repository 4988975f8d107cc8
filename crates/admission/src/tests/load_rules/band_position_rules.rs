//! The position of the attempts in flight relative to the band, and dispatch credit.
use super::is_close;
use crate::policy::band::band_bounds::{is_loaded_in_broadcast_mode, position_in_broadcast_mode};
use crate::policy::band::dispatch_credit::{
    credit_after_refill, credit_after_send, credit_required, position_in_large_fleet, LargeFleetBand,
};
use crate::state::{BandPosition, BroadcastBand};

/// A band of two gateways with bounds of 90 and 110 around 100 attempts in flight: an equal share of the
/// lower bound is 45.
fn broadcast_band(own_in_flight: f64, in_flight: f64) -> BroadcastBand {
    BroadcastBand { own_in_flight, in_flight, middle: 100.0, gateways: 2.0 }
}

/// A band of 10 gateways, with 25 endpoints and a watermark of 4: its middle is 100 attempts in flight, 10
/// for each gateway.
fn large_fleet_band(in_flight: f64) -> LargeFleetBand {
    LargeFleetBand { mean_in_flight: in_flight / 10.0, gateways: 10, watermark: 4.0, ready_capacity: 25.0 }
}

#[test]
fn position_follows_the_bounds_unless_gateway_is_below_its_equal_share() {
    let cases = [
        (60.0, 89.0, BandPosition::BelowLowerBound),
        (60.0, 91.0, BandPosition::BetweenBounds),
        (60.0, 109.0, BandPosition::BetweenBounds),
        (60.0, 111.0, BandPosition::AtOrAboveUpperBound),
        (44.0, 500.0, BandPosition::BelowLowerBound),
        (45.0, 500.0, BandPosition::AtOrAboveUpperBound),
    ];
    for (own_in_flight, in_flight, expected) in cases {
        let position = position_in_broadcast_mode(&broadcast_band(own_in_flight, in_flight));
        assert_eq!(position, expected, "{own_in_flight} of {in_flight}");
    }
}

#[test]
fn endpoints_are_loaded_above_half_of_the_middle() {
    for (in_flight, loaded) in [(50.0, false), (51.0, true)] {
        assert_eq!(is_loaded_in_broadcast_mode(&broadcast_band(0.0, in_flight)), loaded, "{in_flight}");
        assert_eq!(large_fleet_band(in_flight).is_loaded(), loaded, "{in_flight} in a large fleet");
    }
}

#[test]
fn large_fleet_requires_credit_above_six_tenths_of_the_middle() {
    let cases = [
        (59.0, 0.0, BandPosition::BelowLowerBound),
        (61.0, 0.9, BandPosition::AtOrAboveUpperBound),
        (61.0, 1.0, BandPosition::BelowLowerBound),
    ];
    for (in_flight, credit, expected) in cases {
        let position = position_in_large_fleet(&large_fleet_band(in_flight), credit, 1.0);
        assert_eq!(position, expected, "{in_flight}, {credit}");
    }
    assert!(
        large_fleet_band(61.0).is_above_credit_threshold()
            && !large_fleet_band(59.0).is_above_credit_threshold()
    );
}

#[test]
fn fill_of_a_band_without_capacity_is_finite() {
    let band = LargeFleetBand { ready_capacity: 0.0, ..large_fleet_band(30.0) };
    assert_eq!(band.fill(), 30.0, "a middle below one attempt counts as one");
}

#[test]
fn higher_priority_weight_requires_less_credit() {
    for (weight, required) in [(1.0, 1.0), (3.0, 0.0), (0.0, 1.0)] {
        assert!(is_close(credit_required(weight, 1.0), required), "weight {weight}");
    }
    assert!(is_close(credit_required(1e12, 1.0), -0.5), "required credit is at least -0.5");
    assert_eq!(credit_required(0.0, 0.0), -0.5, "no division by 0 if no class has a weight");
}

#[test]
fn credit_refills_faster_while_fewer_attempts_are_in_flight() {
    // 10 attempts in flight at a mean response time of 500 ms are 20 requests per second.
    for (in_flight, earned) in [(0.0, 6.0), (100.0, 2.0), (120.0, 1.2), (1000.0, 0.6)] {
        let credit = credit_after_refill(-1.0, &large_fleet_band(in_flight), 500.0, 0.1);
        assert!(is_close(credit, earned - 1.0), "{credit} at {in_flight}");
    }
    assert_eq!(
        credit_after_refill(9.0, &large_fleet_band(0.0), 500.0, 1.0),
        10.0,
        "the equal share is the limit"
    );
    let band = LargeFleetBand { ready_capacity: 1.0, ..large_fleet_band(0.0) };
    assert_eq!(
        credit_after_refill(0.9, &band, 500.0, 1.0),
        1.0,
        "one request may be saved for if the equal share is 0.4"
    );
}

#[test]
fn sent_request_spends_one_credit_down_to_minus_one() {
    assert_eq!([2.0, 0.5, -0.5].map(credit_after_send), [1.0, -0.5, -1.0]);
}
