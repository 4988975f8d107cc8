//! Tests of the times of a shutdown.
use super::*;
use irishinge_admission::{ClassSettings, Idempotency};

/// SIGKILL follows SIGTERM some time after the longest deadline of a class. If the shutdown took longer,
/// requests would be cut off without a response; if it ended sooner, requests with time left would fail. A
/// deadline above 3 s counts as 3 s, so a request with a longer one may fail with time left.
///
/// Expected, for several deadlines: new connections are accepted for [`ACCEPT_DURATION`], all requests get a
/// response no sooner than that and at most 300 ms before SIGKILL, and the process ends after the responses
/// and before SIGKILL. Only the times are checked; nothing is shut down.
#[test]
fn responses_and_process_end_are_due_in_last_300_ms_before_sigkill() {
    for (deadlines, kill_ms) in [(&[1200.0][..], 1900), (&[200.0, 150.0], 900), (&[2500.0, 8000.0], 3700)] {
        let class = |deadline_ms: &f64| ClassSettings {
            latency_objective_ms: 100.0,
            deadline_ms: *deadline_ms,
            priority_weight: 1.0,
            idempotency: Idempotency::NonIdempotent,
        };
        let settings = Settings { classes: deadlines.iter().map(class).collect(), ..Settings::default() };
        let times = ShutdownTimes::new(&settings);
        let kill = Duration::from_millis(kill_ms);
        assert_eq!(times.stop_accepting, ACCEPT_DURATION);
        assert!(times.stop_accepting <= times.respond_to_all, "{deadlines:?}");
        assert!(times.respond_to_all < times.finish && times.finish < kill, "{deadlines:?}");
        assert!(kill - times.respond_to_all <= Duration::from_millis(300), "{deadlines:?}");
    }
}
