//! Builders of settings, endpoints, requests and attempt ends with ordinary values, and readers of actions.
use irishinge_admission::*;

/// A latency objective of all classes here unless a test sets its own.
pub(crate) const OBJECTIVE_MS: f64 = 1000.0;

/// A plan with a quota on the rate and no other limit.
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

/// A request class with an objective of a second and a deadline of three.
pub(crate) fn class(idempotency: Idempotency) -> ClassSettings {
    ClassSettings {
        latency_objective_ms: OBJECTIVE_MS,
        deadline_ms: 3000.0,
        priority_weight: 1.0,
        idempotency,
    }
}

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

/// One of two gateways that broadcast their counts to each other, with one class and one plan.
pub(crate) fn broadcast_settings(idempotency: Idempotency) -> Settings {
    settings(2, vec![class(idempotency)], vec![plan(10.0, 40.0)])
}

/// A fleet of `gateways` gateways, with two classes and two plans that are alike.
pub(crate) fn fleet_settings(gateways: usize, plan: PlanSettings) -> Settings {
    let class = class(Idempotency::Idempotent);
    settings(gateways, vec![class.clone(), class], vec![plan.clone(), plan])
}

/// A ready endpoint of the first zone that started long ago.
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

/// Ready endpoints of the first zone that started long ago.
pub(crate) fn warm_endpoints(count: u64) -> Vec<EndpointEntry> {
    (0..count).map(endpoint).collect()
}

/// A request of one unit by a customer whose requests come through one gateway, the first.
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

/// The end of an attempt that reports nothing but its outcome.
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

/// An attempt that a gateway had its host program start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct SentAttempt {
    pub(crate) request: RequestId,
    pub(crate) endpoint: EndpointId,
    pub(crate) timeout_ms: f64,
}

/// The attempts among these actions, in their order.
pub(crate) fn sends(actions: &[Action]) -> Vec<SentAttempt> {
    let sent = |action: &Action| match *action {
        Action::Send { request, endpoint, timeout_ms } => Some(SentAttempt { request, endpoint, timeout_ms }),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

/// How many final answers a request got from the gateway itself.
pub(crate) fn final_answers(actions: &[Action], id: RequestId) -> usize {
    let answers = |action: &&Action| match action {
        Action::Reject { request, .. } | Action::Fail { request } => *request == id,
        _ => false,
    };
    actions.iter().filter(answers).count()
}

/// The bodies of messages to peers.
pub(crate) fn peer_messages(actions: &[Action]) -> Vec<String> {
    let body = |action: &Action| match action {
        Action::SendPeerMessage { body, .. } => Some(body.clone()),
        _ => None,
    };
    actions.iter().filter_map(body).collect()
}

/// What the head of a gossip message reports, at a mean rate of 12 responses a second.
pub(crate) struct GossipReport {
    /// The mean stock of a gateway, in 64ths of an attempt.
    pub(crate) mean_stock_64ths: u32,
    pub(crate) watermark: u32,
}

/// A gossip message that carries its head only.
pub(crate) fn gossip_report(report: GossipReport) -> String {
    let stock = message_digits(report.mean_stock_64ths, 2);
    let watermark = message_digits(report.watermark * 32, 2);
    let response_rate = message_digits(12 * 32, 2);
    format!("w{stock}{watermark}{response_rate}")
}

/// A number in the digits of the messages' text: six bits each, the highest first.
fn message_digits(value: u32, count: u32) -> String {
    const DIGITS: &[u8; 64] = b"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_";
    (0..count).rev().map(|place| DIGITS[(value >> (6 * place) & 63) as usize] as char).collect()
}

/// A ready endpoint that started long ago, of the first zone and cell where `id` is even, else of the second.
pub(crate) fn endpoint_of_two_zones(id: u64) -> EndpointEntry {
    EndpointEntry { zone: ZoneIndex((id % 2) as usize), cell: id % 2, ..endpoint(id) }
}
