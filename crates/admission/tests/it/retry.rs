//! What may be attempted again after a failed or stalled attempt, by the idempotency of its class.
use crate::common::*;
use irishinge_admission::*;

#[test]
fn does_not_retry_after_the_client_has_gone() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 3);
    let submitted = gateway.submit();
    let sent = submitted.sends()[0];
    gateway.event(Event::ClientGone { request: submitted.id });
    gateway.now_ms += 10.0;
    let after = gateway.end_attempt(sent, 0, Outcome::ConnectFailed, 10.0);
    assert!(sends(&after).is_empty());
    assert_eq!(final_answers(&after, submitted.id), 0);
}

#[test]
fn fails_a_non_idempotent_request_that_may_have_run() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::NonIdempotent), 3);
    let submitted = gateway.submit();
    gateway.now_ms += 50.0;
    let after = gateway.end_attempt(submitted.sends()[0], 0, Outcome::Reset, 50.0);
    assert!(sends(&after).is_empty());
    assert!(after.contains(&Action::Fail { request: submitted.id }));
}

#[test]
fn retries_a_non_idempotent_request_that_never_ran() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::NonIdempotent), 3);
    let submitted = gateway.submit();
    gateway.now_ms += 5.0;
    let after = gateway.end_attempt(submitted.sends()[0], 0, Outcome::ConnectFailed, 5.0);
    assert_eq!(sends(&after).len(), 1);
}

/// A request with an idempotency key whose first attempt was reset.
struct KeyedRequest {
    id: RequestId,
    first_endpoint: u64,
    second_endpoint: Option<u64>,
    after_reset: Vec<Action>,
}

fn reset_keyed_request(group: DedupGroup, window_ms: f64, after_ms: f64) -> KeyedRequest {
    let idempotency = Idempotency::IdempotencyKey { group, window_ms };
    let mut gateway = SingleGateway::new(broadcast_settings(idempotency), 4);
    let submitted = gateway.submit();
    let first = submitted.sends()[0];
    gateway.now_ms += after_ms;
    let after_reset = gateway.end_attempt(first, 0, Outcome::Reset, after_ms);
    KeyedRequest {
        id: submitted.id,
        first_endpoint: first.endpoint.0,
        second_endpoint: sends(&after_reset).first().map(|sent| sent.endpoint.0),
        after_reset,
    }
}

#[test]
fn retries_a_keyed_request_only_within_its_deduplication_group() {
    let request = reset_keyed_request(DedupGroup::Zone, 3000.0, 100.0);
    assert_eq!(request.second_endpoint.map(|s| s % 2), Some(request.first_endpoint % 2));
}

#[test]
fn after_its_window_a_keyed_request_is_failed_or_rejected_if_all_endpoints_deduplicate() {
    let request = reset_keyed_request(DedupGroup::Zone, 200.0, 300.0);
    assert_eq!(request.second_endpoint, None);
    assert!(request.after_reset.contains(&Action::Fail { request: request.id }));
    let request = reset_keyed_request(DedupGroup::All, 200.0, 300.0);
    assert_eq!(request.second_endpoint, None);
    let rejected = Action::Reject { request: request.id, retry_after_ms: None };
    assert!(request.after_reset.contains(&rejected));
}

#[test]
fn cancels_and_never_hedges_a_hung_attempt_where_hedging_is_not_allowed() {
    let mut settings = broadcast_settings(Idempotency::Idempotent);
    settings.hedging_allowed = false;
    let mut gateway = SingleGateway::new(settings, 4);
    assert_eq!(gateway.submit().sends().len(), 1);
    let stalled = gateway.advance(900.0);
    assert!(sends(&stalled).is_empty());
    assert!(stalled.iter().any(|a| matches!(a, Action::Cancel { .. })), "a hung attempt is cancelled");
}

#[test]
fn hedges_an_attempt_stalled_on_a_silent_endpoint() {
    let mut gateway = SingleGateway::new(broadcast_settings(Idempotency::Idempotent), 6);
    let sent = sends(&gateway.submit_as_new_customers(6));
    gateway.now_ms += 100.0;
    for &attempt in &sent[1..] {
        gateway.end_attempt(attempt, 0, Outcome::Ok, 100.0);
    }
    let mut hedges = Vec::new();
    for _ in 0..40 {
        hedges.extend(gateway.advance(20.0));
    }
    let stalled = sent[0];
    assert!(sends(&hedges)
        .iter()
        .any(|hedge| hedge.request == stalled.request && hedge.endpoint != stalled.endpoint));
}
