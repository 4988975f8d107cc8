//! From messages of the wire to events of the admission library.

use super::endpoint_list_messages::{
    EndpointEntryMessage, EndpointListKind, EndpointListMessage, EndpointStateMessage,
};
use super::event_messages::{
    AttemptEndedMessage, CounterOutcomeMessage, CounterReplyMessage, OutcomeMessage, RequestMessage,
};
use super::input::EventMessage;
use irishinge_admission::{
    AttemptEnd, CounterOutcome, CustomerId, EndpointEntry, EndpointState, Event, GatewayIndex,
    ListUpdateKind, Outcome, Request, RequestId,
};
use irishinge_settings::{Names, UnknownName};

/// A message that has the wire's form but cannot be translated to the library's terms.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum TranslationError {
    /// A class, plan, zone or machine kind is not among those of the settings.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    /// The counter responded without its total.
    #[error("counter reply without total")]
    CounterReplyWithoutTotal,
}

impl EventMessage {
    /// The event in the library's terms, with names replaced by the indexes that `names` gives them.
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
            // No decision depends on them, but as after every event the library sends queued requests that
            // may go.
            EventMessage::HealthCheckDone | EventMessage::StreamOpened => Event::TimeAdvanced,
        })
    }
}

impl EndpointListMessage {
    fn into_event(self, names: &Names) -> Result<Event, UnknownName> {
        let entries =
            self.entries.into_iter().map(|entry| entry.into_entry(names)).collect::<Result<_, _>>()?;
        Ok(Event::EndpointList { kind: self.kind.into(), entries })
    }
}

impl From<EndpointListKind> for ListUpdateKind {
    fn from(kind: EndpointListKind) -> Self {
        match kind {
            EndpointListKind::Changes => ListUpdateKind::Changes,
            EndpointListKind::Complete => ListUpdateKind::Complete,
            EndpointListKind::Cached => ListUpdateKind::Cached,
            EndpointListKind::Failed => ListUpdateKind::Failed,
        }
    }
}

impl EndpointEntryMessage {
    fn into_entry(self, names: &Names) -> Result<EndpointEntry, UnknownName> {
        Ok(EndpointEntry {
            id: self.endpoint.0,
            zone: names.zone_index(&self.zone)?,
            kind: names.machine_kind_index(&self.machine_kind)?,
            cell: self.cell,
            state: self.state.into(),
            started_at_ms: positive(self.started_at_ms),
        })
    }
}

impl From<EndpointStateMessage> for EndpointState {
    fn from(state: EndpointStateMessage) -> Self {
        match state {
            EndpointStateMessage::Ready => EndpointState::Ready,
            EndpointStateMessage::Draining => EndpointState::Draining,
            EndpointStateMessage::Gone => EndpointState::Gone,
        }
    }
}

impl RequestMessage {
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
    fn into_event(self) -> Result<Event, TranslationError> {
        let outcome = match self.outcome {
            CounterOutcomeMessage::Total => {
                CounterOutcome::Total(self.total.ok_or(TranslationError::CounterReplyWithoutTotal)?)
            }
            CounterOutcomeMessage::Rejected => CounterOutcome::Rejected,
            CounterOutcomeMessage::Unanswered => CounterOutcome::Unanswered,
        };
        Ok(Event::CounterReply { name: self.name, outcome })
    }
}

impl AttemptEndedMessage {
    fn into_attempt_end(self) -> AttemptEnd {
        AttemptEnd {
            request: RequestId(self.request.0),
            attempt: self.attempt,
            endpoint: self.endpoint.0,
            outcome: self.outcome.into(),
            took_ms: self.took_ms,
            request_closed: self.request_closed,
            true_units: positive(self.true_units),
        }
    }
}

impl From<OutcomeMessage> for Outcome {
    fn from(outcome: OutcomeMessage) -> Self {
        match outcome {
            OutcomeMessage::Ok => Outcome::Ok,
            OutcomeMessage::Error => Outcome::Error,
            OutcomeMessage::Overloaded => Outcome::Overloaded,
            OutcomeMessage::TimedOut => Outcome::TimedOut,
            OutcomeMessage::ConnectFailed => Outcome::ConnectFailed,
            OutcomeMessage::Reset => Outcome::Reset,
            OutcomeMessage::Cancelled => Outcome::Cancelled,
            OutcomeMessage::TooLate => Outcome::TooLate,
        }
    }
}

/// On the wire, 0 stands for an absent figure.
fn positive(value: Option<f64>) -> Option<f64> {
    value.filter(|figure| *figure > 0.0)
}
