//! What comes in at a gateway besides the endpoint list, as the wire has it.

use super::ids::{EndpointAddress, HexId};
use serde::Deserialize;
use std::collections::BTreeMap;

/// A client's request.
#[derive(Deserialize)]
pub(crate) struct RequestMessage {
    /// Its id.
    #[serde(rename = "job")]
    pub(super) request: HexId,
    /// The name of its class.
    #[serde(rename = "category")]
    pub(super) class: String,
    /// The name of its customer's plan.
    #[serde(rename = "tariff")]
    pub(super) plan: String,
    /// Its customer.
    #[serde(rename = "member")]
    pub(super) customer: HexId,
    /// How long the client still waits, in milliseconds.
    #[serde(rename = "timeLeftMs")]
    pub(super) time_left_ms: f64,
    /// The units that it takes from its quota.
    #[serde(rename = "weight")]
    pub(super) units: f64,
    /// The number of gateways that the customer's requests arrive at.
    #[serde(rename = "spread")]
    pub(super) gateway_count: usize,
    /// The number of the first of them.
    #[serde(rename = "fromNo")]
    pub(super) first_gateway: usize,
    /// Whether it is marked as a client's retry.
    #[serde(rename = "resent", default)]
    pub(super) is_client_retry: bool,
    /// Whether it is a write. No rule goes by it, so that only its form is checked.
    #[serde(default)]
    #[expect(dead_code, reason = "only its form is checked")]
    write: bool,
}

/// A timer is due.
#[derive(Deserialize)]
pub(crate) struct TimerMessage {
    /// The token that the timer was set with.
    #[serde(rename = "name")]
    pub(super) token: u64,
}

/// The quota counter's response.
#[derive(Deserialize)]
pub(crate) struct CounterReplyMessage {
    /// The counter's name.
    #[serde(rename = "book")]
    pub(super) name: u64,
    /// The total after the call, in units; absent where there is none.
    pub(super) total: Option<f64>,
    /// Time since the call, in milliseconds. No rule goes by it, so that only its form is checked.
    #[serde(rename = "timeTakenMs")]
    #[expect(dead_code, reason = "only its form is checked")]
    took_ms: f64,
    /// How the call ended.
    #[serde(rename = "verdict")]
    pub(super) outcome: CounterOutcomeMessage,
}

/// How a call to the quota counter ended.
#[derive(Deserialize)]
pub(super) enum CounterOutcomeMessage {
    #[serde(rename = "OK")]
    Total,
    #[serde(rename = "RESOURCE_EXHAUSTED", alias = "UNAVAILABLE")]
    Rejected,
    #[serde(rename = "DEADLINE_EXCEEDED")]
    Unanswered,
}

/// Values of an endpoint's load report by their names; absent where no report came.
pub(super) type LoadReport = Option<BTreeMap<String, f64>>;

/// The end of a health check. It is read in full, so that a malformed one is still an error.
#[derive(Deserialize)]
#[expect(dead_code, reason = "only its form is checked")]
pub(super) struct HealthCheckDoneMessage {
    #[serde(rename = "host")]
    endpoint: EndpointAddress,
    #[serde(rename = "verdict")]
    outcome: OutcomeMessage,
    #[serde(rename = "timeTakenMs")]
    took_ms: f64,
    load: LoadReport,
}

/// A message from another gateway.
#[derive(Deserialize)]
pub(crate) struct PeerMessage {
    /// The number of the gateway that sent it.
    #[serde(rename = "neighbour")]
    pub(super) from: usize,
    /// Its text.
    #[serde(rename = "data")]
    pub(super) body: String,
}

/// The client disconnected.
#[derive(Deserialize)]
pub(crate) struct ClientGoneMessage {
    /// The client's request.
    #[serde(rename = "job")]
    pub(super) request: HexId,
}

/// The end of an attempt.
#[derive(Deserialize)]
pub(crate) struct AttemptEndedMessage {
    /// The request.
    #[serde(rename = "job")]
    pub(super) request: HexId,
    /// How the attempt ended.
    #[serde(rename = "verdict")]
    pub(super) outcome: OutcomeMessage,
    /// Absent, or 0, where the response did not carry the true units.
    #[serde(rename = "charged")]
    pub(super) true_units: Option<f64>,
    /// Whether the request has its final response.
    #[serde(rename = "closed")]
    pub(super) request_closed: bool,
    /// Time since it was sent, in milliseconds.
    #[serde(rename = "timeTakenMs")]
    pub(super) took_ms: f64,
    /// Its endpoint.
    #[serde(rename = "host")]
    pub(super) endpoint: EndpointAddress,
    /// 1 + the customer's use in percent of its rate; absent, or 0, where the meter gave none. No rule goes
    /// by it, so that only its form is checked.
    #[serde(rename = "metered")]
    #[expect(dead_code, reason = "only its form is checked")]
    metered_percent_plus_one: Option<f64>,
    /// Its number among the request's attempts, from 0.
    #[serde(rename = "sendNo")]
    pub(super) attempt: u32,
    /// The endpoint's load report. No rule goes by it, so that only its form is checked.
    #[expect(dead_code, reason = "only its form is checked")]
    load: LoadReport,
}

/// How an attempt or a health check ended.
#[derive(Deserialize)]
pub(super) enum OutcomeMessage {
    #[serde(rename = "OK")]
    Ok,
    #[serde(rename = "INTERNAL")]
    Error,
    #[serde(rename = "RESOURCE_EXHAUSTED")]
    Overloaded,
    #[serde(rename = "DEADLINE_EXCEEDED")]
    TimedOut,
    #[serde(rename = "UNAVAILABLE")]
    ConnectFailed,
    #[serde(rename = "ABORTED")]
    Reset,
    #[serde(rename = "CANCELLED")]
    Cancelled,
    #[serde(rename = "TOO_LATE")]
    TooLate,
}

/// A streamed response began. It is read in full, so that a malformed one is still an error.
#[derive(Deserialize)]
#[expect(dead_code, reason = "only its form is checked")]
pub(super) struct StreamOpenedMessage {
    #[serde(rename = "job")]
    request: HexId,
    #[serde(rename = "sendNo")]
    attempt: u32,
    #[serde(rename = "host")]
    endpoint: EndpointAddress,
}
