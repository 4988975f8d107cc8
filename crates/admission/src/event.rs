//! Events that come in at a gateway.
use crate::id::{
    ClassIndex, CustomerId, EndpointId, GatewayIndex, MachineKindIndex, PlanIndex, RequestId, ZoneIndex,
};

/// What the list says of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts requests.
    Ready,
    /// Finishes the requests that it has in flight, and must be sent no new ones.
    Draining,
    /// Removed from the list: nothing is sent to it.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub id: EndpointId,
    /// Its zone.
    pub zone: ZoneIndex,
    /// The kind of machine that it runs on.
    pub kind: MachineKindIndex,
    /// Its cell: a group of endpoints that may share their memory of idempotency keys.
    pub cell: u64,
    /// Its state.
    pub state: EndpointState,
    /// When its process last started, in milliseconds on the clock of the events; `None`: long ago.
    pub started_at_ms: Option<f64>,
}

/// How much of the list an update holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// All entries; an endpoint not among them is gone.
    Complete,
    /// All entries, as last cached before a restart of the gateway; they may be old.
    Cached,
    /// A poll of the list failed; the entries known stay.
    Failed,
}

/// A client's request. It gets exactly one final response.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its id, by which actions and later events name it.
    pub id: RequestId,
    /// Its class.
    pub class: ClassIndex,
    /// Its customer's plan.
    pub plan: PlanIndex,
    /// Its customer.
    pub customer: CustomerId,
    /// Time until its deadline, in milliseconds: how long the client still waits.
    pub time_left_ms: f64,
    /// Units of the quota that it counts; an estimate where the true units come with the response.
    pub units: f64,
    /// The number of gateways that the customer's requests come through.
    pub gateway_count: usize,
    /// The first of these gateways. The others follow it by number, and number 0 follows the last gateway.
    pub first_gateway: GatewayIndex,
    /// The client marked it as its own retry of a rejected or failed request.
    pub is_client_retry: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A good response.
    Ok,
    /// The endpoint responded with an error; the request may have run.
    Error,
    /// Rejected without execution: the endpoint is full or draining.
    Overloaded,
    /// No response in time; it may have run or be running.
    TimedOut,
    /// Nothing was written: no connection was established, or the request was not wanted any more by then. It
    /// never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent, for no fault of the endpoint: its time was over, or the endpoint list had expired.
    TooLate,
}

/// How an attempt ended, and what came with it.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptEnd {
    /// Its request.
    pub request: RequestId,
    /// Its number among those of its request, from 0.
    pub attempt: u32,
    /// Its endpoint.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent, in milliseconds.
    pub took_ms: f64,
    /// The request has its final response, or its client has gone.
    pub closed: bool,
    /// Units that the request really counted, where they come with the response.
    pub true_units: Option<f64>,
}

/// How a call to the quota counter ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CounterOutcome {
    /// The total after the call, in units.
    Total(f64),
    /// Nothing was added.
    Rejected,
    /// No response; the amount may have been added.
    Unanswered,
}

/// Something that a gateway must react to.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointList {
        /// How much of it.
        kind: ListKind,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// The endpoint list is too old: nothing is sent by it until an update comes, be it without entries. The
    /// entries stay.
    EndpointListExpired,
    /// Nothing happened but that time has passed. As after every event, queued requests that may go now are
    /// sent.
    TimeAdvanced,
    /// A request came in.
    Request(Request),
    /// A timer is due.
    Timer {
        /// The token it was set with.
        token: u64,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client closed its connection.
    ClientDisconnected {
        /// Its request.
        request: RequestId,
    },
    /// A peer's message.
    PeerMessage {
        /// The peer's number.
        from: GatewayIndex,
        /// Its text.
        body: String,
    },
    /// A call to the quota counter ended.
    CounterReply {
        /// The name of the count.
        name: u64,
        /// How it ended.
        outcome: CounterOutcome,
    },
}
