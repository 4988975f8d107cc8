//! A line of input: the messages that each gateway receives at one time.

use super::endpoint_list_messages::EndpointListMessage;
use super::event_messages::{
    AttemptEndedMessage, ClientDisconnectedMessage, CounterReplyMessage, HealthCheckDoneMessage, PeerMessage,
    RequestMessage, StreamOpenedMessage, TimerMessage,
};
use irishinge_settings::SettingsDocument;
use serde::Deserialize;

/// A line of input.
#[derive(Deserialize)]
pub(crate) struct Batch {
    /// The time at which all events of the batch occur, in milliseconds on the simulator's clock.
    #[serde(rename = "clockMs")]
    pub(crate) clock_ms: f64,
    /// The messages to each gateway.
    pub(crate) parts: Vec<BatchPart>,
}

/// The messages to one gateway.
#[derive(Deserialize)]
pub(crate) struct BatchPart {
    /// The simulator's id of the gateway.
    #[serde(rename = "gatewayId")]
    pub(crate) gateway_id: String,
    /// The messages in order of arrival.
    #[serde(rename = "arrivals")]
    pub(crate) messages: Vec<InputMessage>,
}

/// A message to a gateway.
#[derive(Deserialize)]
#[serde(from = "TaggedMessage")]
pub(crate) enum InputMessage {
    /// Starts the gateway, with no state but these settings.
    Start(StartMessage),
    /// Ends the gateway at once. Its state is lost.
    Kill,
    /// An event for the admission library.
    Event(EventMessage),
}

/// A message that starts a gateway.
#[derive(Deserialize)]
pub(crate) struct StartMessage {
    /// The seed of the gateway's random number generator.
    #[serde(rename = "rngSeed")]
    pub(crate) random_seed: u64,
    /// The gateway's settings.
    #[serde(rename = "conf")]
    pub(crate) settings: Box<SettingsDocument>,
}

/// A message that is translated to an event of the admission library.
pub(crate) enum EventMessage {
    /// The endpoint list was updated, or a poll of it failed.
    EndpointList(EndpointListMessage),
    /// A client sent a request.
    Request(RequestMessage),
    /// A timer is due.
    Timer(TimerMessage),
    /// A call to the quota counter ended.
    CounterReply(CounterReplyMessage),
    /// A health check ended. Only its time is used, because the library requests no health checks.
    HealthCheckDone,
    /// Another gateway sent a message.
    PeerMessage(PeerMessage),
    /// A client disconnected.
    ClientDisconnected(ClientDisconnectedMessage),
    /// An attempt ended.
    AttemptEnded(AttemptEndedMessage),
    /// A streamed response began. Only its time is used, because no decision depends on the beginning of a
    /// response.
    StreamOpened,
}

/// A message of any kind, which the `msg` field names. [`InputMessage`] separates the messages that the
/// adapter handles from those that are events for the library.
#[derive(Deserialize)]
#[serde(tag = "msg")]
enum TaggedMessage {
    /// The simulator starts the gateway.
    Start(StartMessage),
    /// The simulator ends the gateway at once.
    #[serde(rename = "CrashNow")]
    Kill,
    /// The endpoint list was updated, or a poll of it failed.
    #[serde(rename = "Targets")]
    EndpointList(EndpointListMessage),
    /// A client sent a request.
    #[serde(rename = "Demand")]
    Request(RequestMessage),
    /// A timer is due.
    #[serde(rename = "Bell")]
    Timer(TimerMessage),
    /// A call to the quota counter ended.
    CounterReply(CounterReplyMessage),
    /// A health check ended.
    #[serde(rename = "Echo")]
    HealthCheckDone(
        #[expect(dead_code, reason = "parsed only to reject malformed messages")] HealthCheckDoneMessage,
    ),
    /// Another gateway sent a message.
    #[serde(rename = "NoteFrom")]
    PeerMessage(PeerMessage),
    /// A client disconnected.
    #[serde(rename = "Hangup")]
    ClientDisconnected(ClientDisconnectedMessage),
    /// An attempt ended.
    #[serde(rename = "Result")]
    AttemptEnded(AttemptEndedMessage),
    /// A streamed response began.
    #[serde(rename = "Opened")]
    StreamOpened(
        #[expect(dead_code, reason = "parsed only to reject malformed messages")] StreamOpenedMessage,
    ),
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
