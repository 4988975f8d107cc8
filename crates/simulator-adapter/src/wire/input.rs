//! A line of input: what came in at each gateway at one time.

use super::ids::{EndpointAddress, HexId};
use irishinge_settings::SettingsDocument;
use serde::Deserialize;
use std::collections::BTreeMap;

/// A line of input.
#[derive(Deserialize)]
pub(crate) struct Batch {
    /// The time at which all events of the batch occur.
    #[serde(rename = "clockMs")]
    pub(crate) clock_ms: f64,
    /// The messages, by gateway.
    pub(crate) parts: Vec<BatchPart>,
}

/// What came in at one gateway, in order of arrival.
#[derive(Deserialize)]
pub(crate) struct BatchPart {
    /// The simulator's id of the gateway.
    #[serde(rename = "gatewayId")]
    pub(crate) gateway_id: String,
    /// The messages to it.
    #[serde(rename = "arrivals")]
    pub(crate) messages: Vec<InputMessage>,
}

/// A message to a gateway.
#[derive(Deserialize)]
#[serde(from = "TaggedMessage")]
pub(crate) enum InputMessage {
    /// The gateway begins with nothing but these settings.
    Start(StartMessage),
    /// The gateway ends at once and its state is lost.
    Kill,
    /// An event for the admission library.
    Event(EventMessage),
}

/// The settings and random seed of a new gateway.
#[derive(Deserialize)]
pub(crate) struct StartMessage {
    /// The seed of the gateway's random numbers.
    #[serde(rename = "rngSeed")]
    pub(crate) random_seed: u64,
    /// Its settings.
    #[serde(rename = "conf")]
    pub(crate) settings: Box<SettingsDocument>,
}

/// An event for the admission library, as the wire has it.
pub(crate) enum EventMessage {
    EndpointList(EndpointListMessage),
    Request(RequestMessage),
    Timer(TimerMessage),
    CounterReply(CounterReplyMessage),
    /// Ignored except for its time: the library requests no health checks.
    HealthCheckDone,
    PeerMessage(PeerMessage),
    ClientGone(ClientGoneMessage),
    AttemptEnded(AttemptEndedMessage),
    /// Ignored except for its time: no decision depends on the beginning of a response.
    StreamOpened,
}

/// All messages under the wire's names, before those for the adapter are separated from those for the
/// library.
#[derive(Deserialize)]
#[serde(tag = "msg")]
enum TaggedMessage {
    Start(StartMessage),
    #[serde(rename = "CrashNow")]
    Kill,
    #[serde(rename = "Targets")]
    EndpointList(EndpointListMessage),
    #[serde(rename = "Demand")]
    Request(RequestMessage),
    #[serde(rename = "Bell")]
    Timer(TimerMessage),
    CounterReply(CounterReplyMessage),
    #[serde(rename = "Echo")]
    HealthCheckDone(#[expect(dead_code, reason = "only its form is checked")] HealthCheckDoneMessage),
    #[serde(rename = "NoteFrom")]
    PeerMessage(PeerMessage),
    #[serde(rename = "Hangup")]
    ClientGone(ClientGoneMessage),
    #[serde(rename = "Result")]
    AttemptEnded(AttemptEndedMessage),
    #[serde(rename = "Opened")]
    StreamOpened(#[expect(dead_code, reason = "only its form is checked")] StreamOpenedMessage),
}

impl From<TaggedMessage> for InputMessage {
    fn from(message: TaggedMessage) -> Self {
        InputMessage::Event(match message {
            TaggedMessage::Start(start) => return InputMessage::Start(start),
            TaggedMessage::Kill => return InputMessage::Kill,
            TaggedMessage::EndpointList(list) => EventMessage::EndpointList(list),
            TaggedMessage::Request(request) => EventMessage::Request(request),
            TaggedMessage::Timer(timer) => EventMessage::Timer(timer),
            TaggedMessage::CounterReply(reply) => EventMessage::CounterReply(reply),
            TaggedMessage::HealthCheckDone(_) => EventMessage::HealthCheckDone,
            TaggedMessage::PeerMessage(message) => EventMessage::PeerMessage(message),
            TaggedMessage::ClientGone(client) => EventMessage::ClientGone(client),
            TaggedMessage::AttemptEnded(attempt) => EventMessage::AttemptEnded(attempt),
            TaggedMessage::StreamOpened(_) => EventMessage::StreamOpened,
        })
    }
}

/// An update of the endpoint list.
#[derive(Deserialize)]
pub(crate) struct EndpointListMessage {
    /// How much of the list the entries are.
    pub(super) kind: EndpointListKind,
    /// The entries.
    #[serde(rename = "hosts")]
    pub(super) entries: Vec<EndpointEntryMessage>,
}

/// How much of the endpoint list a message holds.
#[derive(Deserialize)]
pub(super) enum EndpointListKind {
    #[serde(rename = "patch")]
    Changes,
    #[serde(rename = "whole")]
    Complete,
    #[serde(rename = "stale_copy")]
    Cached,
    #[serde(rename = "broken")]
    Failed,
}

/// An entry of the endpoint list.
#[derive(Deserialize)]
pub(super) struct EndpointEntryMessage {
    /// The endpoint.
    #[serde(rename = "host")]
    pub(super) endpoint: EndpointAddress,
    /// The name of its zone.
    #[serde(rename = "area")]
    pub(super) zone: String,
    /// The name of its machine's kind.
    #[serde(rename = "familyType")]
    pub(super) machine_kind: String,
    /// Its cell: endpoints that share their memory of idempotency keys.
    #[serde(rename = "stripe")]
    pub(super) cell: u64,
    /// Its state.
    #[serde(rename = "health")]
    pub(super) state: EndpointStateMessage,
    /// Absent, or 0, for an endpoint that started long ago.
    #[serde(rename = "bornMs")]
    pub(super) started_at_ms: Option<f64>,
}

/// What the list says of an endpoint.
#[derive(Deserialize)]
pub(super) enum EndpointStateMessage {
    #[serde(rename = "IN")]
    Ready,
    #[serde(rename = "LAME")]
    Draining,
    #[serde(rename = "OUT")]
    Gone,
}

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
struct HealthCheckDoneMessage {
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
struct StreamOpenedMessage {
    #[serde(rename = "job")]
    request: HexId,
    #[serde(rename = "sendNo")]
    attempt: u32,
    #[serde(rename = "host")]
    endpoint: EndpointAddress,
}
