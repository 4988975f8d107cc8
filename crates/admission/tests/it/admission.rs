//! Admission of requests by the time that they have left, and their one final response.
use crate::common::*;
use irishinge_admission::*;

/// No endpoint is known when a request arrives, and no other event follows. Guards against a request that
/// stays in the queue until its client has stopped waiting, and against two rules that both give it a
/// final response. The request is never sent and gets exactly one final response before its deadline.
#[test]
fn rejects_once_before_the_deadline_when_there_is_no_endpoint() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 0);
    let Submitted { id, mut actions } = gateway.submit();
    actions.extend(gateway.advance(2990.0));
    assert!(sent_attempts(&actions).is_empty());
    assert_eq!(rejection_or_failure_count(&actions, id), 1);
}

/// The only endpoint is unresponsive, so that the request's attempt never ends. Guards against a gateway
/// that waits for the attempt and never responds to the client. The request gets one final response before
/// its deadline.
#[test]
fn responds_before_the_deadline_when_an_attempt_never_ends() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 1);
    let submitted = gateway.submit();
    assert_eq!(submitted.sent_attempts().len(), 1);
    let actions = gateway.advance(2990.0);
    assert_eq!(rejection_or_failure_count(&actions, submitted.id), 1);
}

/// A request arrives with 300 ms left, and a new gateway expects a response to take 150 ms. While the
/// endpoints are saturated, most responses to such requests would come after their clients have
/// disconnected, so the request is rejected. Without load it is sent: otherwise endpoints that have been
/// slow would get no request that shows their recovery.
#[test]
fn rejects_request_with_little_time_left_only_while_saturated() {
    // Three attempts in flight at two endpoints are more than half of the band's middle of 4: saturated.
    for (in_flight, sent) in [(0, 1), (3, 0)] {
        let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 2);
        assert_eq!(sent_attempts(&gateway.submit_as_new_customers(in_flight)).len(), in_flight);
        gateway.advance(20.0);
        let submitted = gateway.submit_with(|r| r.time_left_ms = 300.0);
        let responses = rejection_or_failure_count(&submitted.actions, submitted.id);
        assert_eq!((submitted.sent_attempts().len(), responses), (sent, 1 - sent), "{in_flight} in flight");
    }
}

/// A request arrives with 4 ms left, less than any response takes. If it were sent, an endpoint would work
/// for a client that no longer waits; if it were queued, it would be rejected later, with even less time
/// left for the client's own retry. It is rejected at once.
#[test]
fn rejects_at_once_when_deadline_cannot_be_met() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 3);
    let submitted = gateway.submit_with(|r| r.time_left_ms = 4.0);
    assert!(submitted.sent_attempts().is_empty());
    assert_eq!(rejection_or_failure_count(&submitted.actions, submitted.id), 1);
}

/// In gossip mode every request is queued until the gateway knows its quota. Guards against a request
/// without enough time that costs quota messages and a place in the queue. It is rejected while its
/// arrival is handled, and a request with enough time is sent.
#[test]
fn gossip_gateway_rejects_only_requests_that_cannot_meet_their_deadline() {
    let mut fleet = gossip_fleet(40, plan(100.0, 400.0));
    let short = fleet.submit(3, |r| r.time_left_ms = 60.0);
    assert!(fleet.rejected_or_failed.contains(&short), "rejected while its arrival is handled");
    let enough = fleet.submit(3, |r| r.time_left_ms = 400.0);
    fleet.advance(400.0);
    assert!(!fleet.rejected_or_failed.contains(&enough) && fleet.sent.len() == 1);
}

/// A request that is not marked as a client's retry arrives with 1900 ms left, while other requests of its
/// class have 3000 ms. It is a retry all the same: its client has waited since an earlier request, and the
/// latency objective of 1000 ms has passed. A response no longer has any value for it, and would take
/// capacity from requests that can still be served in time. The gateway takes the time left that most
/// requests of a class have as that of first requests. Before it has seen enough of them, it rejects no
/// request for this reason. Afterwards it rejects the late retry at once, but not a request whose client has
/// waited for 300 ms.
#[test]
fn rejects_unmarked_retry_past_its_latency_objective_at_once() {
    let mut fleet = gossip_fleet(40, plan(100.0, 400.0));
    let before_learning = fleet.submit(3, |r| r.time_left_ms = 1900.0);
    for _ in 0..8 {
        fleet.submit(3, |_| {});
    }
    let late_retry = fleet.submit(3, |r| r.time_left_ms = 1900.0);
    assert!(
        fleet.rejected_or_failed.contains(&late_retry)
            && !fleet.rejected_or_failed.contains(&before_learning)
    );
    let early_retry = fleet.submit(3, |r| r.time_left_ms = 2700.0);
    fleet.advance(300.0);
    assert!(!fleet.rejected_or_failed.contains(&early_retry));
}

/// Returns the `Retry-After` of a rejected request, in ms.
fn retry_after(actions: &[Action], id: RequestId) -> Option<f64> {
    let is_rejection = |action: &&Action| matches!(action, Action::Reject { request, .. } if *request == id);
    match actions.iter().find(is_rejection) {
        Some(Action::Reject { retry_after_ms, .. }) => *retry_after_ms,
        _ => panic!("{id:?} was not rejected: {actions:?}"),
    }
}

/// In an overload, requests are rejected because they cannot be answered in the time that they have left.
/// Guards against clients that get no `Retry-After` then, and add to the overload by retrying at once. Such
/// a request is rejected with the longest `Retry-After` that clients honour, whether it had too little time
/// left when it arrived or its time ran out in the queue. If clients honour none, the rejection has none.
#[test]
fn rejections_for_lack_of_time_carry_retry_after_if_clients_honour_it() {
    // The request arrives with too little time left.
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 3);
    let submitted = gateway.submit_with(|r| r.time_left_ms = 4.0);
    assert_eq!(retry_after(&submitted.actions, submitted.id), Some(1000.0));
    // No endpoint is known. The request is queued until no response can meet the objective of 1 s, long
    // before its 3 s are over.
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 0);
    let Submitted { id, mut actions } = gateway.submit();
    actions.extend(gateway.advance(1000.0));
    assert_eq!(retry_after(&actions, id), Some(1000.0));
    // Clients honour no `Retry-After`.
    let settings = Settings { max_retry_after_ms: 0.0, ..broadcast_settings(Idempotency::Idempotent) };
    let mut gateway = SingleGateway::new(settings, 3);
    let submitted = gateway.submit_with(|r| r.time_left_ms = 4.0);
    assert_eq!(retry_after(&submitted.actions, submitted.id), None);
}

/// A request names gateways, or a plan, that the settings do not have. Guards against the use of such a
/// number as an index, which would end the process and every other request with it. A set of gateways that
/// is out of range is corrected and its request is served; an unknown plan fails only its own request.
#[test]
fn survives_request_fields_out_of_range() {
    let mut settings = broadcast_settings(Idempotency::Idempotent);
    // Only for a plan with a concurrency limit does the gateway compute its position among the request's
    // gateways.
    settings.plans = vec![PlanSettings { concurrency_limit: 2, ..plan(0.0, 0.0) }];
    let mut gateway = SingleGateway::new(settings, 4);
    let submitted = gateway.submit_with(|r| (r.first_gateway, r.gateway_count) = (GatewayIndex(99), 0));
    assert_eq!(submitted.sent_attempts().len(), 1);
    let Submitted { id, actions } = gateway.submit_with(|r| r.plan = PlanIndex(7));
    assert_eq!(actions, vec![Action::Fail { request: id }]);
}
