//! Builders of settings, endpoints, requests and attempt ends with default values, and functions that read
//! actions.
use irishinge_admission::*;

/// Latency objective of each class, in ms, unless a test sets another.
pub(crate) const OBJECTIVE_MS: f64 = 1000.0;

/// Returns a plan with a quota and no other limit. A rate of 0 means that there is no quota.
pub(crate) fn plan(rate_per_second: f64, burst_units: f64) -> PlanSettings {
    PlanSettings {
        rate_per_second,
        burst_units,
        concurrency_limit: 0,
        plan_weight: 1.0,
        over_quota_value: 0.0,
        over_quota_cost: 1.0,
        ceiling_rate_per_second: 0.0,
        ceiling_burst_units: 0.0,
    }
}

/// Returns a request class with a latency objective of 1 s and a deadline of 3 s.
pub(crate) fn class(idempotency: Idempotency) -> ClassSettings {
    ClassSettings {
        latency_objective_ms: OBJECTIVE_MS,
        deadline_ms: 3000.0,
        priority_weight: 1.0,
        idempotency,
    }
}

/// Returns settings with these gateways, classes and plans. All other values are the same unless a test
/// changes them.
fn settings(gateways: usize, classes: Vec<ClassSettings>, plans: Vec<PlanSettings>) -> Settings {
    Settings {
        gateways,
        tick_ms: 2.0,
        classes,
        plans,
        max_attempts: 4,
        hedging_allowed: true,
        cancel_allowed: true,
        peer_messages_allowed: true,
        peer_messages_per_second: 60.0,
        max_retry_after_ms: 1000.0,
        max_units: 4.0,
        cold_start_fraction: 0.2,
        warm_up_ms: 10_000.0,
        overload_multiple: 2.0,
        overload_window_ms: 1000.0,
        ..Settings::default()
    }
}

/// Returns the settings of the first of two gateways in broadcast mode, with one class and one plan.
pub(crate) fn broadcast_settings(idempotency: Idempotency) -> Settings {
    settings(2, vec![class(idempotency)], vec![plan(10.0, 40.0)])
}

/// Returns the settings of a fleet of this many gateways, with two equal classes and two equal plans.
pub(crate) fn fleet_settings(gateways: usize, plan: PlanSettings) -> Settings {
    let class = class(Idempotency::Idempotent);
    settings(gateways, vec![class.clone(), class], vec![plan.clone(), plan])
}

/// Returns a ready endpoint of the first zone whose process started long ago.
pub(crate) fn endpoint(id: u64) -> EndpointEntry {
    EndpointEntry {
        id: EndpointId(id),
        zone: ZoneIndex(0),
        kind: MachineKindIndex(0),
        cell: 0,
        state: EndpointState::Ready,
        started_at_ms: None,
    }
}

/// Returns ready endpoints of the first zone, with ids from 0, whose processes started long ago.
pub(crate) fn warm_endpoints(count: u64) -> Vec<EndpointEntry> {
    (0..count).map(endpoint).collect()
}

/// Returns a request of one unit by a customer whose requests come through the first gateway only, and with
/// no mark of a client's retry.
pub(crate) fn request(id: RequestId, customer: CustomerId) -> Request {
    Request {
        id,
        class: ClassIndex(0),
        plan: PlanIndex(0),
        customer,
        time_left_ms: 3000.0,
        units: 1.0,
        gateway_count: 1,
        first_gateway: GatewayIndex(0),
        is_client_retry: false,
    }
}

/// Returns the end of an attempt whose response carries no true units. The request is closed if the outcome
/// is `Ok`, because its client then has the response.
pub(crate) fn attempt_end(
    request: RequestId,
    attempt: u32,
    endpoint: EndpointId,
    outcome: Outcome,
    took_ms: f64,
) -> AttemptEnd {
    AttemptEnd {
        request,
        attempt,
        endpoint,
        outcome,
        took_ms,
        request_closed: outcome == Outcome::Ok,
        true_units: None,
    }
}

/// An attempt that a gateway asked its host program to send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct SentAttempt {
    pub(crate) request: RequestId,
    pub(crate) endpoint: EndpointId,
    pub(crate) timeout_ms: f64,
}

/// Returns the attempts that these actions send, in order.
pub(crate) fn sent_attempts(actions: &[Action]) -> Vec<SentAttempt> {
    let sent_attempt = |action: &Action| match *action {
        Action::Send { request, endpoint, timeout_ms } => Some(SentAttempt { request, endpoint, timeout_ms }),
        _ => None,
    };
    actions.iter().filter_map(sent_attempt).collect()
}

/// Returns how often these actions reject or fail a request. These are the final responses that a gateway
/// decides on; the host program passes on a successful response without an action.
pub(crate) fn rejection_or_failure_count(actions: &[Action], id: RequestId) -> usize {
    let is_rejection_or_failure = |action: &&Action| match action {
        Action::Reject { request, .. } | Action::Fail { request } => *request == id,
        _ => false,
    };
    actions.iter().filter(is_rejection_or_failure).count()
}

/// Returns the bodies of the messages to peers among these actions.
pub(crate) fn peer_messages(actions: &[Action]) -> Vec<String> {
    let body = |action: &Action| match action {
        Action::SendPeerMessage { body, .. } => Some(body.clone()),
        _ => None,
    };
    actions.iter().filter_map(body).collect()
}

/// The means at the head of a gossip message. The third mean, the response rate, is always 12 per second.
pub(crate) struct GossipMeans {
    /// Mean attempts in flight of a gateway, in 64ths of an attempt.
    pub(crate) in_flight_64ths: u32,
    /// Mean watermark, in attempts in flight per ready endpoint.
    pub(crate) watermark: u32,
}

/// Returns a gossip message that carries only means. On the wire, the watermark and the response rate are
/// in 32nds.
pub(crate) fn gossip_message(means: GossipMeans) -> String {
    let in_flight = base64_digits(means.in_flight_64ths, 2);
    let watermark = base64_digits(means.watermark * 32, 2);
    let response_rate = base64_digits(12 * 32, 2);
    format!("w{in_flight}{watermark}{response_rate}")
}

/// Returns a number as `count` base-64 digits of six bits each, the highest first.
fn base64_digits(value: u32, count: u32) -> String {
    const DIGITS: &[u8; 64] = b"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_";
    (0..count).rev().map(|place| DIGITS[(value >> (6 * place) & 63) as usize] as char).collect()
}

/// Returns a ready endpoint whose process started long ago. An even id puts it in the first zone and cell,
/// an odd id in the second.
pub(crate) fn endpoint_in_zone_by_parity(id: u64) -> EndpointEntry {
    EndpointEntry { zone: ZoneIndex((id % 2) as usize), cell: id % 2, ..endpoint(id) }
}
