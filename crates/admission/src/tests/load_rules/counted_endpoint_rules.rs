//! Selection of the endpoints that the band counts.
use crate::policy::band::counted_endpoints::{
    is_counted_in_broadcast_mode, is_counted_in_large_fleet, is_counted_or_correlated_failure,
    CountedEndpointInput,
};

const COUNTED: CountedEndpointInput = CountedEndpointInput {
    is_gone: false,
    consecutive_failures: 0,
    is_ejected: false,
    is_any_class_ejected: false,
    stall_ratio: 2.0,
};

#[test]
fn failed_endpoints_are_not_counted_in_either_mode() {
    let cases = [
        (COUNTED, true),
        (CountedEndpointInput { is_gone: true, ..COUNTED }, false),
        (CountedEndpointInput { consecutive_failures: 1, is_ejected: true, ..COUNTED }, false),
        // The endpoint is paused after an overload response, or its ejection has ended.
        (CountedEndpointInput { is_ejected: true, ..COUNTED }, true),
        (CountedEndpointInput { consecutive_failures: 1, ..COUNTED }, true),
        (CountedEndpointInput { is_any_class_ejected: true, ..COUNTED }, false),
        (CountedEndpointInput { stall_ratio: 2.1, ..COUNTED }, false),
    ];
    for (input, counted) in cases {
        assert_eq!(is_counted_in_broadcast_mode(&input), counted, "{input:?}");
        assert_eq!(is_counted_in_large_fleet(&input, false, 1.0), counted, "{input:?}");
    }
}

#[test]
fn large_fleet_does_not_count_unresponsive_or_far_slower_endpoints() {
    assert!(is_counted_in_large_fleet(&COUNTED, false, 1.6));
    assert!(!is_counted_in_large_fleet(&COUNTED, false, 1.7));
    assert!(!is_counted_in_large_fleet(&COUNTED, true, 1.0));
}

#[test]
fn all_endpoints_are_counted_during_a_correlated_failure() {
    for (is_correlated_failure, counted_alone, counted) in
        [(true, false, true), (false, false, false), (false, true, true)]
    {
        assert_eq!(is_counted_or_correlated_failure(is_correlated_failure, || counted_alone), counted);
    }
}
