//! Events that come in at a gateway.
use crate::id::{
    ClassIndex, CustomerId, EndpointId, GatewayIndex, MachineKindIndex, PlanIndex, RequestId, ZoneIndex,
};

/// What the list says of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    Ready,
    /// Finishes the requests it has; must be sent no new ones.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub id: EndpointId,
    /// Its zone, as an index.
    pub zone: ZoneIndex,
    /// Its machine kind, as an index.
    pub kind: MachineKindIndex,
    /// Its cell.
    pub cell: u64,
    /// Its state.
    pub state: EndpointState,
    /// When its process last started, in milliseconds; `None`: long ago.
    pub started_at_ms: Option<f64>,
}

/// How much of the list an update holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// All entries; an endpoint not among them is gone.
    Whole,
    /// All entries, as last stored before a restart.
    Remembered,
    /// A call for the list failed; the entries known stay.
    Failed,
}

/// A request that has come in. It gets exactly one final answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class, an index into the settings.
    pub class: ClassIndex,
    /// Its customer's plan, an index into the settings.
    pub plan: PlanIndex,
    /// Its customer.
    pub customer: CustomerId,
    /// Time until the client gives this try up, in milliseconds.
    pub time_left_ms: f64,
    /// Units that it counts; an estimate where the true units come with the response.
    pub units: f64,
    /// The number of gateways that the customer's requests come through.
    pub gateway_count: usize,
    /// Number of the first of these gateways; the others follow it, from the last gateway on to number 0.
    pub first_gateway: GatewayIndex,
    /// The client marked it as a repeat.
    pub repeat: bool,
    /// It is a write.
    pub write: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The endpoint failed; the request may have run.
    Error,
    /// Turned away before it ran: the endpoint is full or draining.
    Overloaded,
    /// No response in time; it may have run or be running.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Not sent: its time or its request had ended.
    TooLate,
}

/// How an attempt ended, and what came with it.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptEnd {
    /// Its request.
    pub request: RequestId,
    /// Its number.
    pub attempt: u32,
    /// Its endpoint.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent, in milliseconds.
    pub took_ms: f64,
    /// The request has its final answer.
    pub closed: bool,
    /// True units of the request, where they come with the response.
    pub true_units: Option<f64>,
    /// The customer's use over all gateways in the meter's last period, in percent of its quota.
    pub metered_percent: Option<f64>,
    /// The endpoint's load report.
    pub load: Vec<(String, f64)>,
}

/// How a call to the quota counter ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CounterOutcome {
    /// The total after the call.
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
    ClientGone {
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
        /// The counter's name.
        name: u64,
        /// How it ended.
        outcome: CounterOutcome,
        /// Time since the call, in milliseconds.
        took_ms: f64,
    },
}
