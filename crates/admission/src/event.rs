//! The events that a gateway handles.
use crate::id::{
    ClassIndex, CustomerId, EndpointId, GatewayIndex, MachineKindIndex, PlanIndex, RequestId, ZoneIndex,
};

/// The state of an endpoint in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts requests.
    Ready,
    /// The endpoint finishes the requests that it has in flight, and must be sent no new ones.
    Draining,
    /// The endpoint is removed from the list and is sent nothing.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint's id.
    pub id: EndpointId,
    /// The endpoint's zone.
    pub zone: ZoneIndex,
    /// The kind of machine that the endpoint runs on.
    pub kind: MachineKindIndex,
    /// The endpoint's cell: a group of endpoints that may share one memory of idempotency keys.
    pub cell: u64,
    /// The endpoint's state.
    pub state: EndpointState,
    /// When the endpoint's process last started, in milliseconds on the clock of the events; `None` if that
    /// was long ago.
    pub started_at_ms: Option<f64>,
}

/// The contents of an update of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// Only the entries that changed.
    Changes,
    /// All entries. An endpoint that has no entry has been removed.
    Complete,
    /// All entries, as they were cached before the gateway restarted. They may be out of date.
    Cached,
    /// No entries, because a poll of the list failed. The known entries stay.
    Failed,
}

/// A client's request, which gets exactly one final response.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The request's id, by which actions and later events name the request.
    pub id: RequestId,
    /// The request's class.
    pub class: ClassIndex,
    /// The customer's plan.
    pub plan: PlanIndex,
    /// The customer that sent the request.
    pub customer: CustomerId,
    /// Time for which the client still waits, until its deadline, in milliseconds.
    pub time_left_ms: f64,
    /// Units of the quota that the request consumes. They are an estimate if the true units come with the
    /// response.
    pub units: f64,
    /// Number of gateways that the customer's requests come through.
    pub gateway_count: usize,
    /// The first of these gateways. The others follow in the order of their numbers, and number 0 follows the
    /// last gateway of the fleet.
    pub first_gateway: GatewayIndex,
    /// Whether the client marked the request as its own retry of a rejected or failed request.
    pub is_client_retry: bool,
}

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint sent a good response.
    Ok,
    /// The endpoint responded with an error. The request may have run.
    Error,
    /// The endpoint rejected the attempt without running the request, because it is full or draining.
    Overloaded,
    /// No response came in time. The request may have run or may still be running.
    TimedOut,
    /// Nothing was written: there was no connection, the endpoint no longer accepted requests or had a new
    /// address, the request no longer waited for a response, or the attempt timed out or lost its connection
    /// first. The request never ran.
    ConnectFailed,
    /// The connection broke. The request may have run.
    Reset,
    /// The attempt was cancelled. The request may have run.
    Cancelled,
    /// The attempt was never sent, through no fault of the endpoint: no time was left for it, the endpoint
    /// list had expired, or the request no longer waited for a response when the attempt was to start. If the
    /// last is noticed only once a connection is acquired, the outcome is
    /// [`ConnectFailed`](Self::ConnectFailed).
    NotSent,
}

/// The end of an attempt: its outcome and what came with it.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptEnd {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The attempt's number among those of its request, from 0.
    pub attempt: u32,
    /// The endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time since the attempt was sent, in milliseconds.
    pub took_ms: f64,
    /// Whether the request has its final response or its client has disconnected.
    pub request_closed: bool,
    /// Units that the request really consumed; `None` if they did not come with the response.
    pub true_units: Option<f64>,
}

/// The outcome of a call to the quota counter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CounterOutcome {
    /// The counter responded with the total after the call, in units.
    Total(f64),
    /// The call was rejected, and nothing was added.
    Rejected,
    /// No response came. The amount may have been added.
    Unanswered,
}

/// Something that a gateway must react to.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list was updated.
    EndpointList {
        /// The contents of the update.
        kind: ListUpdateKind,
        /// The entries of the update.
        entries: Vec<EndpointEntry>,
    },
    /// The endpoint list is too old to be used: no attempt is sent until the next update that is not
    /// [`ListUpdateKind::Failed`]. That update may have no entries. The known entries stay.
    EndpointListExpired,
    /// Only time has passed. As after every event, the gateway sends the queued requests that may be sent
    /// now.
    TimeAdvanced,
    /// A request was received.
    Request(Request),
    /// A timer is due.
    Timer {
        /// The token that the timer was set with.
        token: u64,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client closed its connection.
    ClientDisconnected {
        /// The client's request.
        request: RequestId,
    },
    /// A peer's message was received.
    PeerMessage {
        /// The peer's number.
        from: GatewayIndex,
        /// The message's text.
        body: String,
    },
    /// A call to the quota counter ended.
    CounterReply {
        /// The name of the count that the call was for.
        name: u64,
        /// How the call ended.
        outcome: CounterOutcome,
    },
}
