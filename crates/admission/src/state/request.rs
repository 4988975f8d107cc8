//! Requests in work and their attempts.
use crate::event::Request;
use crate::gateway::Gateway;
use crate::id::{EndpointId, RequestId};
use crate::policy::admission::FIRST_TRIES;
use crate::settings::{DedupGroup, Idempotency};
use std::collections::BTreeMap;

/// Where a request stands with its customer's keeper.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) enum QuotaState {
    /// Nobody needs to be asked.
    #[default]
    Own,
    Asked {
        keeper: usize,
        number: u32,
        at_ms: f64,
        tries: u32,
    },
    /// The keeper holds the question until a slot is free.
    Queued {
        keeper: usize,
        number: u32,
    },
    Granted {
        keeper: usize,
        number: u32,
    },
    Beyond {
        ceiling: bool,
    },
    /// The counter is asked.
    Counting,
    /// It may go, by the counter or since that was not asked about it.
    Counted {
        asked: bool,
    },
}

#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) zone: usize,
    pub(crate) cell: u64,
    pub(crate) sent_ms: f64,
    pub(crate) pending: bool,
    pub(crate) may_have_run: bool,
}

/// A request taken in, until it is answered and all its attempts have ended.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) request: Request,
    pub(crate) tag: u64,
    pub(crate) objective_at_ms: f64,
    pub(crate) deadline_ms: f64,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) answered: bool,
    /// What was out at the answer has been called off.
    pub(crate) closed: bool,
    pub(crate) within_quota: bool,
    pub(crate) quota: QuotaState,
    /// Units by which the answer's true figure passed the guess.
    pub(crate) settled_units: f64,
    /// Its keeper has so much that the true units need not be told.
    pub(crate) ample: bool,
}

impl ActiveRequest {
    /// A request just taken in.
    pub(crate) fn new(request: Request, tag: u64, now: f64, aim: f64, inside: bool) -> Self {
        ActiveRequest {
            tag,
            objective_at_ms: now + aim,
            deadline_ms: now + request.time_left_ms,
            attempts: Vec::new(),
            answered: false,
            closed: false,
            within_quota: inside,
            quota: QuotaState::Own,
            settled_units: 0.0,
            ample: false,
            request,
        }
    }
}

/// Requests taken in that are not answered yet or have attempts in flight.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    pub(crate) active: BTreeMap<RequestId, ActiveRequest>,
}

/// Further attempts that may be made now.
#[derive(Debug, Default)]
pub(crate) struct RetryBudget {
    pub(crate) tokens: f64,
}

impl Gateway {
    pub(crate) fn may_reject(&self, active: &ActiveRequest) -> bool {
        let risky = active.attempts.iter().any(|a| a.pending || a.may_have_run);
        match self.settings.classes[active.request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => !risky,
            Idempotency::IdempotencyKey { group, .. } => !risky || group == DedupGroup::All,
        }
    }

    /// How long the client of a request has waited already, where its time left tells. First tries of a class
    /// all come with the same time left, the commonest; another one is what is left of the deadline, unless
    /// it is under the aim, as an impatient client's. Nothing is concluded while no time left is common.
    pub(crate) fn already_waited_ms(&mut self, class: usize, time_left_ms: f64) -> f64 {
        let settings = &self.settings.classes[class];
        let (near, sure, most) = FIRST_TRIES;
        let (usual_ms, seen) = &mut self.latency.time_budgets[class];
        if (time_left_ms - *usual_ms).abs() <= near * *usual_ms {
            *seen = (*seen + 4).min(most);
            return 0.0;
        }
        *seen -= 1;
        if *seen <= 0 {
            (*usual_ms, *seen) = (time_left_ms, 1);
        }
        let later = *seen >= sure && time_left_ms > settings.latency_objective_ms;
        if later {
            (settings.deadline_ms - time_left_ms).max(0.0)
        } else {
            0.0
        }
    }

    pub(crate) fn remove_queued(&mut self, tag: u64, id: RequestId) {
        let Some(flow) = self.queue.flows.get_mut(&tag) else { return };
        if let Some(at) = flow.queue.iter().position(|h| h.0 == id) {
            flow.queue.remove(at);
            self.queue.len -= 1;
            flow.units -= self.requests.active.get(&id).map_or(0.0, |o| o.request.units);
        }
        if flow.queue.is_empty() {
            self.queue.flows.remove(&tag);
        }
    }
}

/// Whether a held request's customer lets it go now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Gate {
    Go,
    Wait,
    Beyond,
}
