//! The messages to a gateway other than updates of the endpoint list.

use super::ids::{EndpointAddress, HexId};
use serde::Deserialize;
use std::collections::BTreeMap;

/// A message that reports a client's request.
#[derive(Deserialize)]
pub(crate) struct RequestMessage {
    /// The id of the request.
    #[serde(rename = "job")]
    pub(super) request: HexId,
    /// The name of the request class.
    #[serde(rename = "category")]
    pub(super) class: String,
    /// The name of the customer's plan.
    #[serde(rename = "tariff")]
    pub(super) plan: String,
    /// The id of the customer.
    #[serde(rename = "member")]
    pub(super) customer: HexId,
    /// The time until the request's deadline, in milliseconds.
    #[serde(rename = "timeLeftMs")]
    pub(super) time_left_ms: f64,
    /// The units that the request takes from its customer's quota; an estimate if the true units come with
    /// the response.
    #[serde(rename = "weight")]
    pub(super) units: f64,
    /// The number of gateways that the customer's requests come through.
    #[serde(rename = "spread")]
    pub(super) gateway_count: usize,
    /// The number of the first of these gateways. The others follow it by number, and number 0 follows the
    /// last gateway.
    #[serde(rename = "fromNo")]
    pub(super) first_gateway: usize,
    /// Whether the client marked the request as its own retry.
    #[serde(rename = "resent", default)]
    pub(super) is_client_retry: bool,
    /// Whether the request is a write. No rule uses this; it is parsed to reject malformed messages.
    #[serde(default)]
    #[expect(dead_code, reason = "parsed only to reject malformed messages")]
    write: bool,
}

/// A message that reports a timer that is due.
#[derive(Deserialize)]
pub(crate) struct TimerMessage {
    /// The token that the timer was set with.
    #[serde(rename = "name")]
    pub(super) token: u64,
}

/// A message that reports the end of a call to the quota counter.
#[derive(Deserialize)]
pub(crate) struct CounterReplyMessage {
    /// The name of the count.
    #[serde(rename = "book")]
    pub(super) name: u64,
    /// The total of the count after the call, in units; absent if the quota counter returned none.
    pub(super) total: Option<f64>,
    /// The time since the call, in milliseconds. No rule uses it; it is parsed to reject malformed messages.
    #[serde(rename = "timeTakenMs")]
    #[expect(dead_code, reason = "parsed only to reject malformed messages")]
    took_ms: f64,
    /// The result of the call.
    #[serde(rename = "verdict")]
    pub(super) outcome: WireCounterOutcome,
}

/// The result of a call to the quota counter.
#[derive(Deserialize)]
pub(super) enum WireCounterOutcome {
    /// The quota counter returned the total of the count.
    #[serde(rename = "OK")]
    Total,
    /// The call was rejected, and nothing was added.
    #[serde(rename = "RESOURCE_EXHAUSTED", alias = "UNAVAILABLE")]
    Rejected,
    /// No response came. The amount may have been added.
    #[serde(rename = "DEADLINE_EXCEEDED")]
    Unanswered,
}

/// The values of an endpoint's load report by name; absent if there is no report.
pub(super) type LoadReport = Option<BTreeMap<String, f64>>;

/// A message that reports the end of a health check. Its fields are parsed only to reject malformed messages.
#[derive(Deserialize)]
#[expect(dead_code, reason = "parsed only to reject malformed messages")]
pub(super) struct HealthCheckDoneMessage {
    /// The endpoint that was checked.
    #[serde(rename = "host")]
    endpoint: EndpointAddress,
    /// How the health check ended.
    #[serde(rename = "verdict")]
    outcome: WireOutcome,
    /// How long the health check took, in milliseconds.
    #[serde(rename = "timeTakenMs")]
    took_ms: f64,
    /// The endpoint's load report.
    load: LoadReport,
}

/// A message from another gateway.
#[derive(Deserialize)]
pub(crate) struct PeerMessage {
    /// The number of the gateway that sent the message.
    #[serde(rename = "neighbour")]
    pub(super) from: usize,
    /// The text of the message.
    #[serde(rename = "data")]
    pub(super) body: String,
}

/// A message that reports that a client disconnected.
#[derive(Deserialize)]
pub(crate) struct ClientDisconnectedMessage {
    /// The id of the client's request.
    #[serde(rename = "job")]
    pub(super) request: HexId,
}

/// A message that reports the end of an attempt.
#[derive(Deserialize)]
pub(crate) struct AttemptEndedMessage {
    /// The id of the attempt's request.
    #[serde(rename = "job")]
    pub(super) request: HexId,
    /// How the attempt ended.
    #[serde(rename = "verdict")]
    pub(super) outcome: WireOutcome,
    /// The true units that the request takes from its customer's quota; absent or 0 if the response did not
    /// carry them.
    #[serde(rename = "charged")]
    pub(super) true_units: Option<f64>,
    /// Whether the request has its final response or its client has disconnected.
    #[serde(rename = "closed")]
    pub(super) request_closed: bool,
    /// The time since the attempt was sent, in milliseconds.
    #[serde(rename = "timeTakenMs")]
    pub(super) took_ms: f64,
    /// The endpoint that the attempt was sent to.
    #[serde(rename = "host")]
    pub(super) endpoint: EndpointAddress,
    /// A figure of the simulator's meter: 1 + the customer's use in percent of its rate; absent or 0 if the
    /// meter gave none. No rule uses it; it is parsed to reject malformed messages.
    #[serde(rename = "metered")]
    #[expect(dead_code, reason = "parsed only to reject malformed messages")]
    metered_percent_plus_one: Option<f64>,
    /// The number of the attempt among those of the request, from 0.
    #[serde(rename = "sendNo")]
    pub(super) attempt: u32,
    /// The endpoint's load report. No rule uses it; it is parsed to reject malformed messages.
    #[expect(dead_code, reason = "parsed only to reject malformed messages")]
    load: LoadReport,
}

/// The outcome of an attempt or of a health check.
#[derive(Deserialize)]
pub(super) enum WireOutcome {
    /// The endpoint responded without an error.
    #[serde(rename = "OK")]
    Ok,
    /// The endpoint responded with an error. The request may have run.
    #[serde(rename = "INTERNAL")]
    Error,
    /// The endpoint rejected the request without running it.
    #[serde(rename = "RESOURCE_EXHAUSTED")]
    Overloaded,
    /// No response came in time. The request may have run or be running.
    #[serde(rename = "DEADLINE_EXCEEDED")]
    TimedOut,
    /// Nothing was written to the endpoint, so the request never ran.
    #[serde(rename = "UNAVAILABLE")]
    ConnectFailed,
    /// The connection broke. The request may have run.
    #[serde(rename = "ABORTED")]
    Reset,
    /// The attempt was cancelled. The request may have run.
    #[serde(rename = "CANCELLED")]
    Cancelled,
    /// The attempt was never sent, and the endpoint is not at fault.
    #[serde(rename = "TOO_LATE")]
    NotSent,
}

/// A message that reports the beginning of a streamed response. Its fields are parsed only to reject
/// malformed messages.
#[derive(Deserialize)]
#[expect(dead_code, reason = "parsed only to reject malformed messages")]
pub(super) struct StreamOpenedMessage {
    /// The id of the request.
    #[serde(rename = "job")]
    request: HexId,
    /// The number of the attempt among those of the request, from 0.
    #[serde(rename = "sendNo")]
    attempt: u32,
    /// The endpoint that the attempt was sent to.
    #[serde(rename = "host")]
    endpoint: EndpointAddress,
}
