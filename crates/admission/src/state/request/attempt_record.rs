//! Attempts of a request.
use crate::id::{ClassIndex, EndpointId, RequestId, ZoneIndex};
use crate::state::Endpoint;

/// An attempt of a request: what was sent, to which endpoint, and what became of it.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    /// Where it was sent.
    pub(crate) endpoint: EndpointId,
    /// When it was sent, in milliseconds.
    pub(crate) sent_ms: f64,
    /// The endpoint's zone when it was sent.
    zone: ZoneIndex,
    /// The endpoint's cell when it was sent.
    cell: u64,
    state: AttemptState,
}

/// What became of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    /// It is in flight.
    Pending,
    /// It has ended, and the endpoint may have done the work.
    MayHaveRun,
    /// It has ended, and the endpoint did none of the work.
    NotRun,
}

impl Attempt {
    /// An attempt that is sent to an endpoint now.
    pub(crate) fn new(endpoint: &Endpoint, now_ms: f64) -> Self {
        Attempt {
            endpoint: endpoint.id(),
            sent_ms: now_ms,
            zone: endpoint.zone(),
            cell: endpoint.cell(),
            state: AttemptState::Pending,
        }
    }

    /// Whether it is in flight.
    pub(crate) fn is_pending(&self) -> bool {
        self.state == AttemptState::Pending
    }

    /// Marks it as ended. `may_have_run`: the endpoint may have done the work, or may still do it.
    pub(crate) fn end(&mut self, may_have_run: bool) {
        self.state = if may_have_run { AttemptState::MayHaveRun } else { AttemptState::NotRun };
    }

    /// Whether the endpoint may have done the work, or may still do it.
    pub(crate) fn may_have_run(&self) -> bool {
        self.state != AttemptState::NotRun
    }

    /// The endpoint's zone when it was sent.
    pub(crate) fn zone(&self) -> ZoneIndex {
        self.zone
    }

    /// The endpoint's cell when it was sent.
    pub(crate) fn cell(&self) -> u64 {
        self.cell
    }
}

/// Names an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AttemptId {
    /// The request.
    pub(crate) request: RequestId,
    /// The attempt's number among those of its request, from 0.
    pub(crate) attempt: u32,
}

/// An attempt in flight.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingAttempt {
    /// Its name.
    pub(crate) attempt_id: AttemptId,
    /// Its request's class, an index into the settings.
    pub(crate) class: ClassIndex,
    /// Where it was sent.
    pub(crate) endpoint: EndpointId,
    /// When it was sent, in milliseconds.
    pub(crate) sent_ms: f64,
}
