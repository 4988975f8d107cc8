//! Endpoints that are draining or removed, or whose list has expired, are sent nothing.
use crate::common::*;
use irishinge_admission::*;

/// Of three endpoints one is draining and one is removed. Requests sent to them would be rejected, or lost
/// when they stop; a draining endpoint must be sent no new requests. All attempts go to the third endpoint.
#[test]
fn sends_nothing_to_draining_or_removed_endpoints() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 3);
    gateway.update_endpoints(vec![
        EndpointEntry { state: EndpointState::Draining, ..endpoint_in_zone_by_parity(0) },
        EndpointEntry { state: EndpointState::Gone, ..endpoint_in_zone_by_parity(1) },
    ]);
    let sent = sent_attempts(&gateway.submit_as_new_customers(6));
    assert!(!sent.is_empty());
    assert!(sent.iter().all(|attempt| attempt.endpoint.0 == 2));
}

/// A complete list has no entry for two of the known endpoints, because the changes that removed them were
/// missed. If the list were merged like a list of changes, the two would stay in use for good. No attempt
/// goes to another endpoint than the one that the list names.
#[test]
fn drops_endpoints_that_a_complete_list_does_not_name() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 3);
    let entries = vec![endpoint_in_zone_by_parity(2)];
    gateway.handle_event(Event::EndpointList { kind: ListUpdateKind::Complete, entries });
    let all = gateway.submit_as_new_customers(4);
    assert!(sent_attempts(&all).iter().all(|attempt| attempt.endpoint.0 == 2));
}

/// Discovery has not confirmed the list in time, so any endpoint may be draining or gone. A gateway that
/// still sends by this list may send new requests to a draining endpoint, which must get none. One that
/// keeps requests queued until discovery is back lets their deadlines pass. One that resumes only with a
/// complete list prolongs the outage, although no entry need have changed. While the list has expired
/// nothing is sent, not even after an update that says that a poll failed, and a queued request is rejected
/// in time. The next list of changes, even an empty one, makes the known endpoints usable again.
#[test]
fn expired_list_stops_sending_until_an_update_other_than_failed() {
    let class =
        ClassSettings { latency_objective_ms: 500.0, deadline_ms: 2000.0, ..class(Idempotency::Idempotent) };
    // One gateway is in broadcast mode; 300 without messages and without the counter are in isolated mode.
    for gateways in [1, 300] {
        let settings = Settings {
            gateways,
            max_attempts: 3,
            max_retry_after_ms: 2000.0,
            classes: vec![class.clone()],
            plans: vec![plan(100.0, 100.0)],
            ..Settings::default()
        };
        let mut gateway = Gateway::new(settings, 7, 0.0).expect("valid settings");
        let mut at = |now: f64, event: Event| {
            let mut actions = Vec::new();
            gateway.on_event(now, event, &mut actions);
            actions
        };
        let update = |kind, entries| Event::EndpointList { kind, entries };
        let submit =
            |id| Event::Request(Request { time_left_ms: 2000.0, ..request(RequestId(id), CustomerId(5)) });
        let has_sent_attempts = |actions: &[Action]| !sent_attempts(actions).is_empty();
        at(0.0, update(ListUpdateKind::Complete, warm_endpoints(9)));
        assert!(has_sent_attempts(&at(5000.0, submit(1))), "{gateways}");
        at(5100.0, Event::EndpointListExpired);
        assert!(!has_sent_attempts(&at(5100.0, update(ListUpdateKind::Failed, Vec::new()))));
        let mut rejected = false;
        let mut actions = at(5200.0, submit(2));
        for round in 0..200 {
            assert!(!has_sent_attempts(&actions), "{gateways}: {actions:?}");
            rejected |= actions.iter().any(|a| matches!(a, Action::Reject { request: RequestId(2), .. }));
            actions = at(5200.0 + 5.0 * f64::from(round), Event::Timer { token: 0 });
        }
        assert!(rejected, "{gateways}: the queued request is rejected in time");
        assert!(!has_sent_attempts(&at(6300.0, submit(3))), "{gateways}");
        let resumed = at(6310.0, update(ListUpdateKind::Changes, Vec::new()));
        assert!(has_sent_attempts(&resumed), "{gateways}: the queued request is sent");
    }
}
