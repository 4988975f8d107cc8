//! The translation of wire messages to the admission library's events.

use super::endpoint_list_messages::{
    EndpointListMessage, WireEndpointEntry, WireEndpointState, WireListUpdateKind,
};
use super::event_messages::{
    AttemptEndedMessage, CounterReplyMessage, RequestMessage, WireCounterOutcome, WireOutcome,
};
use super::input::EventMessage;
use irishinge_admission::{
    AttemptEnd, CounterOutcome, CustomerId, EndpointEntry, EndpointState, Event, GatewayIndex,
    ListUpdateKind, Outcome, Request, RequestId,
};
use irishinge_settings::{Names, UnknownName};

/// The reason why a well-formed message cannot be translated to an event.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum TranslationError {
    /// A class, plan, zone or machine kind is not among those of the settings.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    /// A reply of the quota counter has the verdict `OK` but no total.
    #[error("counter reply with verdict OK has no total")]
    CounterReplyWithoutTotal,
}

impl EventMessage {
    /// Translates the message to an event. Names are replaced by the indexes that they have in `names`.
    pub(crate) fn into_event(self, names: &Names) -> Result<Event, TranslationError> {
        Ok(match self {
            EventMessage::EndpointList(list) => list.into_event(names)?,
            EventMessage::Request(request) => Event::Request(request.into_request(names)?),
            EventMessage::Timer(timer) => Event::Timer { token: timer.token },
            EventMessage::CounterReply(reply) => reply.into_event()?,
            EventMessage::PeerMessage(message) => {
                Event::PeerMessage { from: GatewayIndex(message.from), body: message.body }
            }
            EventMessage::ClientDisconnected(client) => {
                Event::ClientDisconnected { request: RequestId(client.request.0) }
            }
            EventMessage::AttemptEnded(attempt) => Event::AttemptEnded(attempt.into_attempt_end()),
            // No decision depends on these messages. But the library sends queued requests after every event,
            // so they must still advance its time.
            EventMessage::HealthCheckDone | EventMessage::StreamOpened => Event::TimeAdvanced,
        })
    }
}

impl EndpointListMessage {
    /// Translates the message to an event.
    fn into_event(self, names: &Names) -> Result<Event, UnknownName> {
        let entries =
            self.entries.into_iter().map(|entry| entry.into_entry(names)).collect::<Result<_, _>>()?;
        Ok(Event::EndpointList { kind: self.kind.into(), entries })
    }
}

impl From<WireListUpdateKind> for ListUpdateKind {
    fn from(kind: WireListUpdateKind) -> Self {
        match kind {
            WireListUpdateKind::Changes => ListUpdateKind::Changes,
            WireListUpdateKind::Complete => ListUpdateKind::Complete,
            WireListUpdateKind::Cached => ListUpdateKind::Cached,
            WireListUpdateKind::Failed => ListUpdateKind::Failed,
        }
    }
}

impl WireEndpointEntry {
    /// Translates the entry to the admission library's endpoint entry.
    fn into_entry(self, names: &Names) -> Result<EndpointEntry, UnknownName> {
        Ok(EndpointEntry {
            id: self.endpoint.0,
            zone: names.zone_index(&self.zone)?,
            kind: names.machine_kind_index(&self.machine_kind)?,
            cell: self.cell,
            state: self.state.into(),
            started_at_ms: positive_or_none(self.started_at_ms),
        })
    }
}

impl From<WireEndpointState> for EndpointState {
    fn from(state: WireEndpointState) -> Self {
        match state {
            WireEndpointState::Ready => EndpointState::Ready,
            WireEndpointState::Draining => EndpointState::Draining,
            WireEndpointState::Gone => EndpointState::Gone,
        }
    }
}

impl RequestMessage {
    /// Translates the message to the admission library's request.
    fn into_request(self, names: &Names) -> Result<Request, UnknownName> {
        Ok(Request {
            id: RequestId(self.request.0),
            class: names.class_index(&self.class)?,
            plan: names.plan_index(&self.plan)?,
            customer: CustomerId(self.customer.0),
            time_left_ms: self.time_left_ms,
            units: self.units,
            gateway_count: self.gateway_count,
            first_gateway: GatewayIndex(self.first_gateway),
            is_client_retry: self.is_client_retry,
        })
    }
}

impl CounterReplyMessage {
    /// Translates the message to an event.
    fn into_event(self) -> Result<Event, TranslationError> {
        let outcome = match self.outcome {
            WireCounterOutcome::Total => {
                CounterOutcome::Total(self.total.ok_or(TranslationError::CounterReplyWithoutTotal)?)
            }
            WireCounterOutcome::Rejected => CounterOutcome::Rejected,
            WireCounterOutcome::Unanswered => CounterOutcome::Unanswered,
        };
        Ok(Event::CounterReply { name: self.name, outcome })
    }
}

impl AttemptEndedMessage {
    /// Translates the message to the admission library's record of how the attempt ended.
    fn into_attempt_end(self) -> AttemptEnd {
        AttemptEnd {
            request: RequestId(self.request.0),
            attempt: self.attempt,
            endpoint: self.endpoint.0,
            outcome: self.outcome.into(),
            took_ms: self.took_ms,
            request_closed: self.request_closed,
            true_units: positive_or_none(self.true_units),
        }
    }
}

impl From<WireOutcome> for Outcome {
    fn from(outcome: WireOutcome) -> Self {
        match outcome {
            WireOutcome::Ok => Outcome::Ok,
            WireOutcome::Error => Outcome::Error,
            WireOutcome::Overloaded => Outcome::Overloaded,
            WireOutcome::TimedOut => Outcome::TimedOut,
            WireOutcome::ConnectFailed => Outcome::ConnectFailed,
            WireOutcome::Reset => Outcome::Reset,
            WireOutcome::Cancelled => Outcome::Cancelled,
            WireOutcome::NotSent => Outcome::NotSent,
        }
    }
}

/// Returns `value` if it is above 0. On the wire, 0 means that the value is absent.
fn positive_or_none(value: Option<f64>) -> Option<f64> {
    value.filter(|value| *value > 0.0)
}
