//! Which requests are retried or hedged after a failed or stalled attempt, by the idempotency of their class.
use crate::common::*;
use irishinge_admission::*;

/// A client disconnects, and then its request's attempt fails. A retry would have an endpoint work for
/// nobody, and a final answer would be one for a request that is over. There is neither.
#[test]
fn does_not_retry_after_the_client_has_gone() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 3);
    let submitted = gateway.submit();
    let sent = submitted.sent_attempts()[0];
    gateway.handle_event(Event::ClientDisconnected { request: submitted.id });
    gateway.now_ms += 10.0;
    let after = gateway.end_attempt(sent, 0, Outcome::ConnectFailed, 10.0);
    assert!(sent_attempts(&after).is_empty());
    assert_eq!(final_response_count(&after, submitted.id), 0);
}

/// A connection breaks while a request that must not run twice is in flight, so that it may have run. A retry
/// could run it again, and so could the client's own retry after a rejection. The request fails.
#[test]
fn fails_a_non_idempotent_request_that_may_have_run() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::NonIdempotent), 3);
    let submitted = gateway.submit();
    gateway.now_ms += 50.0;
    let after = gateway.end_attempt(submitted.sent_attempts()[0], 0, Outcome::Reset, 50.0);
    assert!(sent_attempts(&after).is_empty());
    assert!(after.contains(&Action::Fail { request: submitted.id }));
}

/// A request that must not run twice finds no connection: it cannot have run. Failed, it would be lost
/// although a retry does no harm. It is retried.
#[test]
fn retries_a_non_idempotent_request_that_never_ran() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::NonIdempotent), 3);
    let submitted = gateway.submit();
    gateway.now_ms += 5.0;
    let after = gateway.end_attempt(submitted.sent_attempts()[0], 0, Outcome::ConnectFailed, 5.0);
    assert_eq!(sent_attempts(&after).len(), 1);
}

/// A request with an idempotency key whose first attempt was reset.
struct RequestWithKey {
    id: RequestId,
    first_endpoint: u64,
    second_endpoint: Option<u64>,
    after_reset: Vec<Action>,
}

fn reset_request_with_key(group: DedupGroup, window_ms: f64, after_ms: f64) -> RequestWithKey {
    let idempotency = Idempotency::IdempotencyKey { group, window_ms };
    let mut gateway = SingleGateway::new(broadcast_settings(idempotency), 4);
    let submitted = gateway.submit();
    let first = submitted.sent_attempts()[0];
    gateway.now_ms += after_ms;
    let after_reset = gateway.end_attempt(first, 0, Outcome::Reset, after_ms);
    RequestWithKey {
        id: submitted.id,
        first_endpoint: first.endpoint.0,
        second_endpoint: sent_attempts(&after_reset).first().map(|sent| sent.endpoint.0),
        after_reset,
    }
}

/// A request with an idempotency key is reset and may have run. Only endpoints of the same zone know its key:
/// a retry in the other zone could run it a second time. The retry goes to the zone of the first attempt.
#[test]
fn retries_a_request_with_an_idempotency_key_only_within_its_deduplication_group() {
    let request = reset_request_with_key(DedupGroup::Zone, 3000.0, 100.0);
    assert_eq!(request.second_endpoint.map(|s| s % 2), Some(request.first_endpoint % 2));
}

/// A request with an idempotency key is reset when the window in which endpoints remember its key is over. A
/// retry could run it again, so that there is none. Where only a zone's endpoints deduplicate, the client's
/// own retry could run it again as well, and the request fails; where all do, it is rejected.
#[test]
fn after_its_window_a_request_with_an_idempotency_key_is_failed_or_rejected_if_all_endpoints_deduplicate() {
    let request = reset_request_with_key(DedupGroup::Zone, 200.0, 300.0);
    assert_eq!(request.second_endpoint, None);
    assert!(request.after_reset.contains(&Action::Fail { request: request.id }));
    let request = reset_request_with_key(DedupGroup::All, 200.0, 300.0);
    assert_eq!(request.second_endpoint, None);
    let rejected = Action::Reject { request: request.id, retry_after_ms: None };
    assert!(request.after_reset.contains(&rejected));
}

/// An attempt hangs, and the settings allow no second attempt beside it. Left alone, the request would be
/// lost with the attempt; hedged, it would break the settings' rule. The attempt is cancelled, and nothing is
/// sent before it has ended.
#[test]
fn cancels_and_never_hedges_a_hung_attempt_where_hedging_is_not_allowed() {
    let mut settings = broadcast_settings(Idempotency::Idempotent);
    settings.hedging_allowed = false;
    let mut gateway = SingleGateway::new(settings, 4);
    assert_eq!(gateway.submit().sent_attempts().len(), 1);
    let stalled = gateway.advance(900.0);
    assert!(sent_attempts(&stalled).is_empty());
    assert!(stalled.iter().any(|a| matches!(a, Action::Cancel { .. })), "a hung attempt is cancelled");
}

/// One of six endpoints goes silent with a request. Without a hedged request the client would wait for the
/// attempt's time-out, long past the latency objective. The request is sent to another endpoint as well.
#[test]
fn hedges_an_attempt_stalled_on_a_silent_endpoint() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 6);
    let sent = sent_attempts(&gateway.submit_as_new_customers(6));
    gateway.now_ms += 100.0;
    for &attempt in &sent[1..] {
        gateway.end_attempt(attempt, 0, Outcome::Ok, 100.0);
    }
    let mut hedges = Vec::new();
    for _ in 0..40 {
        hedges.extend(gateway.advance(20.0));
    }
    let stalled = sent[0];
    assert!(sent_attempts(&hedges)
        .iter()
        .any(|hedge| hedge.request == stalled.request && hedge.endpoint != stalled.endpoint));
}
