//! Outlier detection: stalls, unresponsive endpoints, and which attempts eject their endpoint.
use super::is_close;
use crate::event::Outcome;
use crate::id::ClassIndex;
use crate::policy::outlier::{
    decide_ejection_in_broadcast_mode, decide_ejection_in_large_fleet, ejection_jitter, health_evidence,
    is_class_ejection_due, is_correlated_failure, is_outlier, is_unresponsive, stall_ratio,
    typical_attempt_age_ms, usual_response_ms, EjectionDecision, EjectionInput, HealthEvidence, OutlierInput,
    StallInput, UnresponsiveInput, CLASS_FAILURE_GAIN, ERROR_GAIN,
};
use crate::state::{EndpointHealth, ObservedHealth};

#[test]
fn gone_ejected_or_stalled_endpoint_is_an_outlier() {
    let healthy = OutlierInput { is_gone: false, is_ejected: false, stall_ratio: 1.0 };
    assert!(!is_outlier(&healthy));
    assert!(is_outlier(&OutlierInput { is_gone: true, ..healthy }));
    assert!(is_outlier(&OutlierInput { is_ejected: true, ..healthy }));
    assert!(is_outlier(&OutlierInput { stall_ratio: 1.01, ..healthy }));
}

#[test]
fn stall_ratio_is_silence_over_the_time_that_counts_as_a_stall() {
    // Five attempts in flight, the oldest sent 500 ms ago; the usual response time is 100 ms, so a stall is
    // 250 ms.
    let busy = StallInput {
        now_ms: 1000.0,
        oldest_sent_ms: 500.0,
        last_response_ms: 0.0,
        in_flight: 5,
        relative_response_time: 1.0,
        warm_fraction: 1.0,
        usual_response_ms: 100.0,
    };
    let rows = [
        ("several attempts", busy, 2.0),
        ("one attempt: a stall is 500 ms", StallInput { in_flight: 1, ..busy }, 1.0),
        ("a response since", StallInput { last_response_ms: 900.0, ..busy }, 0.4),
        ("a slow endpoint", StallInput { relative_response_time: 2.0, ..busy }, 1.0),
        ("a fast endpoint", StallInput { relative_response_time: 0.5, ..busy }, 2.0),
        ("a warming endpoint", StallInput { warm_fraction: 0.5, ..busy }, 1.0),
    ];
    for (name, input, expected) in rows {
        let ratio = stall_ratio(&input);
        assert!(is_close(ratio, expected), "{name}: {ratio}");
    }
}

#[test]
fn usual_response_time_rises_with_old_attempts_in_flight() {
    assert!(is_close(usual_response_ms(100.0, 50.0), 100.0));
    assert!(is_close(usual_response_ms(100.0, 200.0), 300.0));
    // Of five ages the third lowest is typical; an endpoint without attempts counts with half of 100 ms.
    let ages = [Some(900.0), Some(10.0), None, Some(70.0), Some(800.0)];
    assert!(is_close(typical_attempt_age_ms(ages.into_iter(), 100.0), 70.0));
    assert!(is_close(typical_attempt_age_ms([None].into_iter(), 100.0), 50.0));
    assert!(is_close(typical_attempt_age_ms([].into_iter(), 100.0), 0.0));
}

#[test]
fn endpoint_is_unresponsive_after_two_failure_observations_and_time() {
    // 20 responses per second from 10 endpoints: 2.5 responses from one endpoint take 1250 ms.
    let silent = UnresponsiveInput {
        failure_observations: 2,
        since_good_response_ms: 1251.0,
        observed_responses_per_second: 20.0,
        endpoints: 10,
    };
    let rows = [
        ("silent", silent, true),
        (
            "one observation of a failed or slow attempt",
            UnresponsiveInput { failure_observations: 1, ..silent },
            false,
        ),
        ("too early", UnresponsiveInput { since_good_response_ms: 1249.0, ..silent }, false),
        ("few observations", UnresponsiveInput { observed_responses_per_second: 2.0, ..silent }, false),
        (
            "no observations, 2 s",
            UnresponsiveInput {
                observed_responses_per_second: 0.0,
                since_good_response_ms: 2001.0,
                endpoints: 0,
                ..silent
            },
            true,
        ),
    ];
    for (name, input, expected) in rows {
        assert_eq!(is_unresponsive(&input), expected, "{name}");
    }
}

#[test]
fn a_failure_is_correlated_when_fewer_than_a_quarter_are_healthy() {
    for (healthy, endpoints, expected) in [(2, 8, false), (1, 8, true), (0, 0, false), (0, 1, true)] {
        assert_eq!(is_correlated_failure(healthy, endpoints), expected, "{healthy} of {endpoints}");
    }
}

#[test]
fn class_ejection_is_due_above_half_failed_and_jitter_is_a_quarter() {
    assert!(!is_class_ejection_due(0.5) && is_class_ejection_due(0.51));
    assert!(is_close(ejection_jitter(0.0), 0.75) && is_close(ejection_jitter(1.0), 1.25));
}

/// An attempt that ended after 400 ms at an endpoint that responded 10 ms ago; the class's mean is 100 ms.
fn ended(outcome: Outcome) -> EjectionInput {
    EjectionInput {
        outcome,
        took_ms: 400.0,
        error_fraction: 0.0,
        consecutive_failures: 0,
        since_response_ms: 10.0,
        class_response_ms: 100.0,
        typical_attempt_age_ms: 0.0,
    }
}

#[test]
fn both_modes_eject_for_a_high_error_fraction_or_a_long_silence() {
    use EjectionDecision::{Eject, Unchanged};
    let failing = |outcome, error_fraction| EjectionInput { error_fraction, ..ended(outcome) };
    let silent = |outcome, since_response_ms| EjectionInput { since_response_ms, ..ended(outcome) };
    let rows = [
        (silent(Outcome::Ok, 9000.0), Unchanged),
        (silent(Outcome::NotSent, 9000.0), Unchanged),
        (failing(Outcome::Error, 0.3), Unchanged),
        (failing(Outcome::Error, 0.31), Eject),
        (EjectionInput { consecutive_failures: 1, ..ended(Outcome::Error) }, Eject),
        (failing(Outcome::Reset, 0.5), Unchanged),
        (failing(Outcome::Reset, 0.51), Eject),
        (silent(Outcome::ConnectFailed, 400.0), Unchanged),
        (silent(Outcome::ConnectFailed, 401.0), Eject),
        (EjectionInput { took_ms: 1.0, ..silent(Outcome::ConnectFailed, 99.0) }, Unchanged),
        (silent(Outcome::Cancelled, 400.0), Unchanged),
        (silent(Outcome::Cancelled, 401.0), Eject),
        (EjectionInput { took_ms: 300.0, ..silent(Outcome::Cancelled, 401.0) }, Unchanged),
        (EjectionInput { took_ms: 301.0, ..silent(Outcome::Cancelled, 401.0) }, Eject),
    ];
    for (input, expected) in rows {
        assert_eq!(decide_ejection_in_broadcast_mode(&input), expected, "broadcast mode: {input:?}");
        assert_eq!(decide_ejection_in_large_fleet(&input), expected, "large fleet: {input:?}");
    }
}

#[test]
fn overload_pauses_in_broadcast_mode_only_and_silent_timeout_ejects() {
    let overloaded = ended(Outcome::Overloaded);
    assert_eq!(
        decide_ejection_in_broadcast_mode(&overloaded),
        EjectionDecision::Pause { duration_ms: 100.0 }
    );
    assert_eq!(decide_ejection_in_large_fleet(&overloaded), EjectionDecision::Unchanged);
    let silent = EjectionInput { since_response_ms: 401.0, ..ended(Outcome::TimedOut) };
    assert_eq!(decide_ejection_in_broadcast_mode(&silent), EjectionDecision::Eject);
    assert_eq!(decide_ejection_in_large_fleet(&silent), EjectionDecision::Eject);
    // Attempts at all endpoints are old: the usual response time is 300 ms, so 400 ms are not long.
    let all_slow = EjectionInput { typical_attempt_age_ms: 200.0, ..silent };
    assert_eq!(decide_ejection_in_broadcast_mode(&all_slow), EjectionDecision::Unchanged);
    assert_eq!(decide_ejection_in_large_fleet(&all_slow), EjectionDecision::Eject);
    let responding = ended(Outcome::TimedOut);
    assert_eq!(decide_ejection_in_broadcast_mode(&responding), EjectionDecision::Unchanged);
    assert_eq!(decide_ejection_in_large_fleet(&responding), EjectionDecision::Unchanged);
}

#[test]
fn fourth_error_ejects_and_second_class_failure_ejects_for_the_class() {
    let mut health = EndpointHealth::new(0.0);
    let decisions = [0.0; 4].map(|now_ms| {
        health.record_response(now_ms);
        health.record_error(ERROR_GAIN);
        let error_fraction = health.error_fraction();
        decide_ejection_in_broadcast_mode(&EjectionInput { error_fraction, ..ended(Outcome::Error) })
    });
    let unchanged = EjectionDecision::Unchanged;
    assert_eq!(decisions, [unchanged, unchanged, unchanged, EjectionDecision::Eject]);
    let mut observed = ObservedHealth::new(0.0);
    let mut fails = || is_class_ejection_due(observed.record_failure(ClassIndex(0), CLASS_FAILURE_GAIN));
    assert_eq!([fails(), fails()], [false, true]);
}

#[test]
fn timed_out_cancelled_and_unsent_attempts_give_no_health_evidence() {
    let rows = [
        (Outcome::Ok, HealthEvidence::GoodResponse),
        (Outcome::Error, HealthEvidence::ErrorResponse),
        (Outcome::Overloaded, HealthEvidence::Rejection),
        (Outcome::ConnectFailed, HealthEvidence::ConnectionFailure),
        (Outcome::Reset, HealthEvidence::ConnectionFailure),
        (Outcome::TimedOut, HealthEvidence::NotRecorded),
        (Outcome::Cancelled, HealthEvidence::NotRecorded),
        (Outcome::NotSent, HealthEvidence::NotRecorded),
    ];
    for (outcome, evidence) in rows {
        assert_eq!(health_evidence(outcome), evidence, "{outcome:?}");
    }
}
