//! Which requests are admitted or rejected by the time they have left, and that each gets one final answer.
use crate::common::*;
use irishinge_admission::*;

/// A request comes while no endpoint is known, and none follows. Left in the queue, it would wait there until
/// its client's time is over, and the client would learn nothing; rejected by two rules, it would be answered
/// twice. It is never sent, and it gets exactly one final answer before its deadline.
#[test]
fn rejects_once_before_the_deadline_when_there_is_no_endpoint() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 0);
    let Submitted { id, mut actions } = gateway.submit();
    actions.extend(gateway.advance(2990.0));
    assert!(sent_attempts(&actions).is_empty());
    assert_eq!(final_response_count(&actions, id), 1);
}

/// A request is sent to the only endpoint, which hangs, so that the attempt never ends. A gateway that waits
/// for the attempt would never answer the client. The request gets its one final answer before its deadline,
/// whatever the attempt does.
#[test]
fn answers_before_the_deadline_when_an_attempt_never_ends() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 1);
    let submitted = gateway.submit();
    assert_eq!(submitted.sent_attempts().len(), 1);
    let actions = gateway.advance(2990.0);
    assert_eq!(final_response_count(&actions, submitted.id), 1);
}

/// A request comes with little more time left than a response takes, which at the start is taken to be 150
/// ms. Sent while the endpoints are saturated, most such requests would be answered after their clients had
/// disconnected, and that work would be wasted. Rejected without load too, a fleet that has been slow would
/// never be sent anything by which it could be seen to have recovered. The request is rejected under load,
/// and sent without.
#[test]
fn rejects_for_little_time_left_only_while_saturated() {
    for (in_flight, sent) in [(0, 1), (3, 0)] {
        let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 2);
        assert_eq!(sent_attempts(&gateway.submit_as_new_customers(in_flight)).len(), in_flight);
        gateway.advance(20.0);
        let submitted = gateway.submit_with(|r| r.time_left_ms = 300.0);
        let answers = final_response_count(&submitted.actions, submitted.id);
        assert_eq!((submitted.sent_attempts().len(), answers), (sent, 1 - sent), "{in_flight} in flight");
    }
}

/// A request comes with 4 ms left, less than any response takes. Sent, it would cost an endpoint work that
/// nobody waits for; queued, it would be rejected later, when its client has even less time for a retry. It
/// is rejected at once.
#[test]
fn rejects_at_once_when_deadline_cannot_be_met() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 3);
    let submitted = gateway.submit_with(|r| r.time_left_ms = 4.0);
    assert!(submitted.sent_attempts().is_empty());
    assert_eq!(final_response_count(&submitted.actions, submitted.id), 1);
}

/// The same in a gossip fleet, where every request is queued and waits for its quota. Without a check at its
/// arrival, a request without enough time would cost quota messages and a place in the queue. It is rejected
/// in the round in which it comes; one with enough time is sent.
#[test]
fn gossip_fleet_rejects_at_once_when_deadline_cannot_be_met_and_serves_what_can() {
    let mut fleet = gossip_fleet(40, plan(100.0, 400.0));
    let short = fleet.submit(3, |r| r.time_left_ms = 60.0);
    assert!(fleet.rejected.contains(&short), "rejected in the same round");
    let enough = fleet.submit(3, |r| r.time_left_ms = 400.0);
    fleet.advance(400.0);
    assert!(!fleet.rejected.contains(&enough) && fleet.sent.len() == 1);
}

/// A client's retry comes with what is left of its full wait: 1900 of 3000 ms, so that the objective of 1000
/// ms has passed. A response has no value for it any more, and would take capacity from requests that can
/// still be served in time. The gateway learns the full wait from the times that most requests of a class
/// come with. Before it has learned it, it rejects nothing for that; then it rejects the late retry at once,
/// and not one whose client has waited for 300 ms.
#[test]
fn rejects_at_once_when_client_has_waited_past_the_latency_objective() {
    let mut fleet = gossip_fleet(40, plan(100.0, 400.0));
    let unsure = fleet.submit(3, |r| r.time_left_ms = 1900.0);
    for _ in 0..8 {
        fleet.submit(3, |_| {});
    }
    let late = fleet.submit(3, |r| r.time_left_ms = 1900.0);
    assert!(fleet.rejected.contains(&late) && !fleet.rejected.contains(&unsure));
    let soon = fleet.submit(3, |r| r.time_left_ms = 2700.0);
    fleet.advance(300.0);
    assert!(!fleet.rejected.contains(&soon));
}

/// The Retry-After of a rejected request.
fn retry_after(actions: &[Action], id: RequestId) -> Option<f64> {
    let rejection = |action: &&Action| matches!(action, Action::Reject { request, .. } if *request == id);
    match actions.iter().find(rejection) {
        Some(Action::Reject { retry_after_ms, .. }) => *retry_after_ms,
        _ => panic!("{id:?} was not rejected: {actions:?}"),
    }
}

/// Clients that are rejected for overload and get no advice come back at once and add to the overload. A
/// rejection for want of time advises the longest wait that clients honour, whether the request came too late
/// or its time ran out in the queue. Where clients honour no advice, it carries none.
#[test]
fn overload_rejections_carry_retry_after_where_clients_honour_it() {
    // Without enough time left when it comes.
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 3);
    let submitted = gateway.submit_with(|r| r.time_left_ms = 4.0);
    assert_eq!(retry_after(&submitted.actions, submitted.id), Some(1000.0));
    // Queued until no answer can meet the objective of a second; long before the client's 3 s are over.
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 0);
    let Submitted { id, mut actions } = gateway.submit();
    actions.extend(gateway.advance(1000.0));
    assert_eq!(retry_after(&actions, id), Some(1000.0));
    // Where clients do not honour it none is given.
    let settings = Settings { max_retry_after_ms: 0.0, ..broadcast_settings(Idempotency::Idempotent) };
    let mut gateway = SingleGateway::new(settings, 3);
    let submitted = gateway.submit_with(|r| r.time_left_ms = 4.0);
    assert_eq!(retry_after(&submitted.actions, submitted.id), None);
}

/// A request names gateways, or a plan, that the settings do not have. Used as an index, such a number would
/// end the process, and every other request with it. A set of gateways out of range is corrected and the
/// request is served; an unknown plan fails this request only.
#[test]
fn survives_request_fields_out_of_range() {
    let mut settings = broadcast_settings(Idempotency::Idempotent);
    settings.plans = vec![PlanSettings { concurrency_limit: 2, ..plan(0.0, 0.0) }];
    let mut gateway = SingleGateway::new(settings, 4);
    let submitted = gateway.submit_with(|r| (r.first_gateway, r.gateway_count) = (GatewayIndex(99), 0));
    assert_eq!(submitted.sent_attempts().len(), 1);
    let Submitted { id, actions } = gateway.submit_with(|r| r.plan = PlanIndex(7));
    assert_eq!(actions, vec![Action::Fail { request: id }]);
}
