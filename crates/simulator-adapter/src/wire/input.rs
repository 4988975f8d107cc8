//! A line of input: what came in at each gateway at one time.

use super::endpoint_list_messages::EndpointListMessage;
use super::event_messages::{
    AttemptEndedMessage, ClientGoneMessage, CounterReplyMessage, HealthCheckDoneMessage, PeerMessage,
    RequestMessage, StreamOpenedMessage, TimerMessage,
};
use irishinge_settings::SettingsDocument;
use serde::Deserialize;

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
    ClientDisconnected(ClientGoneMessage),
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
    ClientDisconnected(ClientGoneMessage),
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
            TaggedMessage::ClientDisconnected(client) => EventMessage::ClientDisconnected(client),
            TaggedMessage::AttemptEnded(attempt) => EventMessage::AttemptEnded(attempt),
            TaggedMessage::StreamOpened(_) => EventMessage::StreamOpened,
        })
    }
}
