use super::*;
use irishinge_admission::{ClassSettings, Idempotency};

#[test]
fn everything_is_answered_between_the_last_deadline_and_sigkill_whatever_the_classes() {
    for (deadlines, kill_ms) in [(&[1200.0][..], 1900), (&[200.0, 150.0], 900), (&[2500.0, 8000.0], 3700)] {
        let class = |deadline_ms: &f64| ClassSettings {
            latency_objective_ms: 100.0,
            deadline_ms: *deadline_ms,
            priority_weight: 1.0,
            late_value_fraction: 0.0,
            idempotency: Idempotency::NonIdempotent,
        };
        let settings = Settings { classes: deadlines.iter().map(class).collect(), ..Settings::default() };
        let (answer_by, write_by) = last_answers(&settings);
        let kill = Duration::from_millis(kill_ms);
        assert!(ACCEPT_ON <= answer_by && answer_by < write_by && write_by < kill, "{deadlines:?}");
        assert!(kill - answer_by <= Duration::from_millis(300), "{deadlines:?}");
    }
}

#[test]
fn the_descriptors_add_up_to_what_the_least_limit_leaves_for_connections() {
    assert_eq!(OTHER_DESCRIPTORS, 32);
    for sockets in [64, 1024] {
        let room = sockets - OTHER_DESCRIPTORS;
        let clients_most = (room as f64 * CLIENTS_PART) as usize;
        let clients = clients_most + downstream::MAX_REFUSING_CONNECTIONS;
        let hosts = room - clients_most;
        let own = STANDARD + RUNTIME + LISTENING + DISCOVERY + CONFIGURATION + SHED;
        assert_eq!(clients + hosts + quota_counter::MAX_CONNECTIONS + own, sockets);
        assert!(hosts >= 13, "a minimum of connections to hosts");
    }
}
