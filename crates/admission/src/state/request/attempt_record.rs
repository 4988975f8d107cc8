//! The attempts of a request.
use crate::id::{ClassIndex, EndpointId, RequestId, ZoneIndex};
use crate::state::Endpoint;

/// An attempt of a request: to which endpoint and when it was sent, and what became of it.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    /// The endpoint that the attempt was sent to.
    pub(crate) endpoint: EndpointId,
    /// When the attempt was sent, in milliseconds.
    pub(crate) sent_ms: f64,
    /// The endpoint's zone when the attempt was sent.
    zone: ZoneIndex,
    /// The endpoint's cell when the attempt was sent.
    cell: u64,
    /// Whether the attempt is in flight and, once it has ended, whether the endpoint may have run the
    /// request.
    state: AttemptState,
}

/// The state of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    /// The attempt is in flight.
    InFlight,
    /// The attempt has ended, and the endpoint may have run the request.
    MayHaveRun,
    /// The attempt has ended, and the endpoint did not run the request.
    NotRun,
}

impl Attempt {
    /// Creates the record of an attempt that is sent to an endpoint now.
    pub(crate) fn new(endpoint: &Endpoint, now_ms: f64) -> Self {
        Attempt {
            endpoint: endpoint.id(),
            sent_ms: now_ms,
            zone: endpoint.zone(),
            cell: endpoint.cell(),
            state: AttemptState::InFlight,
        }
    }

    /// Returns whether the attempt is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.state == AttemptState::InFlight
    }

    /// Marks the attempt as ended. `may_have_run` says whether the endpoint may have run the request or may
    /// still run it.
    pub(crate) fn end(&mut self, may_have_run: bool) {
        self.state = if may_have_run { AttemptState::MayHaveRun } else { AttemptState::NotRun };
    }

    /// Returns whether the endpoint may have run the request or may still run it.
    pub(crate) fn may_have_run(&self) -> bool {
        self.state != AttemptState::NotRun
    }

    /// Returns the endpoint's zone when the attempt was sent.
    pub(crate) fn zone(&self) -> ZoneIndex {
        self.zone
    }

    /// Returns the endpoint's cell when the attempt was sent.
    pub(crate) fn cell(&self) -> u64 {
        self.cell
    }
}

/// The identifier of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AttemptId {
    /// The request that the attempt belongs to.
    pub(crate) request: RequestId,
    /// The attempt's number among those of its request, from 0.
    pub(crate) attempt: u32,
}

/// An attempt in flight at any endpoint, with the class of its request and its endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InFlightAttemptWithClass {
    /// The attempt's identifier.
    pub(crate) attempt_id: AttemptId,
    /// The class of the request.
    pub(crate) class: ClassIndex,
    /// The endpoint that the attempt was sent to.
    pub(crate) endpoint: EndpointId,
    /// When the attempt was sent, in milliseconds.
    pub(crate) sent_ms: f64,
}
