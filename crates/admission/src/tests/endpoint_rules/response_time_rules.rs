//! Response times: what the end of an attempt shows, which endpoints are slow, and which observations other
//! gateways get.
use super::is_close;
use crate::event::Outcome;
use crate::id::{ClassIndex, PlanIndex};
use crate::messages::observation_code::{ObservationKind, ResponseTimeCode};
use crate::policy::observation::observation_of_attempt;
use crate::policy::response_time::{
    class_sample_in_large_fleet, kind_deviation, kind_sample, samples_in_broadcast_mode, OwnAttemptInput,
    OwnAttemptSamples, ResponseTimeSample,
};
use crate::state::RelativeResponseTime;

/// An attempt that took 300 ms at a warm endpoint; the class's mean is 100 ms and its objective 200 ms.
fn ended(outcome: Outcome) -> OwnAttemptInput {
    OwnAttemptInput {
        outcome,
        took_ms: 300.0,
        class_response_ms: 100.0,
        latency_objective_ms: 200.0,
        is_past_warm_up: true,
    }
}

#[test]
fn broadcast_mode_learns_response_times_from_own_attempts() {
    use ResponseTimeSample::{AtLeast, Measured};
    let nothing = OwnAttemptSamples::default();
    let responded = OwnAttemptSamples {
        relative: Some(Measured(3.0)),
        class_response_ms: Some(300.0),
        objective_fraction: Some(Measured(1.5)),
    };
    let warming = OwnAttemptInput { is_past_warm_up: false, ..ended(Outcome::Ok) };
    let whole_objective = OwnAttemptSamples { objective_fraction: Some(Measured(1.0)), ..nothing };
    let timed_out = OwnAttemptSamples {
        relative: Some(AtLeast(3.0)),
        class_response_ms: None,
        objective_fraction: Some(AtLeast(1.0)),
    };
    let rows = [
        (ended(Outcome::Ok), responded),
        (warming, OwnAttemptSamples { relative: Some(Measured(3.0)), ..nothing }),
        (ended(Outcome::Overloaded), whole_objective),
        (ended(Outcome::TimedOut), timed_out),
        (ended(Outcome::Error), nothing),
        (ended(Outcome::Reset), nothing),
        (ended(Outcome::Cancelled), nothing),
    ];
    for (input, expected) in rows {
        assert_eq!(samples_in_broadcast_mode(&input), expected, "{input:?}");
    }
}

#[test]
fn large_fleet_learns_class_mean_from_warm_endpoints() {
    assert_eq!(class_sample_in_large_fleet(&ended(Outcome::Ok)), Some(250.0), "at most 2.5 times the mean");
    let quick = OwnAttemptInput { took_ms: 80.0, ..ended(Outcome::Ok) };
    assert_eq!(class_sample_in_large_fleet(&quick), Some(80.0));
    let warming = OwnAttemptInput { is_past_warm_up: false, ..quick };
    assert_eq!(class_sample_in_large_fleet(&warming), None);
    assert_eq!(class_sample_in_large_fleet(&ended(Outcome::TimedOut)), None);
}

#[test]
fn slowness_is_relative_to_the_machine_kind() {
    // With a gain of 1 the sample replaces the smoothed value.
    let mut response_time = RelativeResponseTime::new(0.0, 4000.0);
    response_time.record_observed(0.0, 3.2, 1.0, 1.0);
    for (learned, baseline, slowness) in [(1.0, 1.0, 2.0), (0.5, 0.5, 4.0), (4.0, 4.0, 1.0), (0.0, 0.1, 20.0)]
    {
        let deviation = kind_deviation(learned, &response_time, 0.0);
        assert!(
            is_close(deviation.baseline, baseline) && is_close(deviation.slowness, slowness),
            "{deviation:?}"
        );
    }
    assert!(is_close(kind_sample(3.9), 3.9) && is_close(kind_sample(9.0), 4.0));
}

#[test]
fn responses_rejections_and_failures_are_observed() {
    let (class, plan) = (ClassIndex(1), PlanIndex(2));
    let response_time = ResponseTimeCode::from_objective_fraction(0.5);
    let failed = Some(ObservationKind::Failed { class });
    let rows = [
        (Outcome::Ok, Some(ObservationKind::Responded { class, response_time })),
        (Outcome::Overloaded, Some(ObservationKind::Overloaded { plan })),
        (Outcome::Error, failed),
        (Outcome::Reset, failed),
        (Outcome::ConnectFailed, failed),
        (Outcome::TimedOut, failed),
        (Outcome::Cancelled, None),
        (Outcome::NotSent, None),
    ];
    for (outcome, expected) in rows {
        assert_eq!(observation_of_attempt(outcome, class, plan, 0.5), expected, "{outcome:?}");
    }
}
