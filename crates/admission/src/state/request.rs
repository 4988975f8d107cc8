//! Requests in work and their attempts.
use crate::event::Request;
use crate::gateway::Gateway;
use crate::id::{EndpointId, RequestId};
use crate::policy::admission::{FIRST_TRIES, MIN_FIRST_TRY_VOTES};
use crate::settings::{DedupGroup, Idempotency};
use std::collections::BTreeMap;

/// Who decides whether a request is within its customer's quota, and what was decided.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) enum QuotaState {
    /// This gateway's own token bucket decides; nobody is asked.
    #[default]
    LocalBucket,
    /// The quota's owner was asked and has not answered.
    AwaitingOwner { keeper: usize, number: u32, at_ms: f64, tries: u32 },
    /// The owner keeps the request waiting until the customer has a free slot.
    QueuedAtOwner { keeper: usize, number: u32 },
    /// The owner granted it.
    GrantedByOwner { keeper: usize, number: u32 },
    /// It is over the quota. Within the ceiling it may still be sent while there is room.
    OverQuota { within_ceiling: bool },
    /// The quota counter was asked and has not answered.
    AwaitingCounter,
    /// It may be sent: the counter said so, or was not asked about it.
    AdmittedByCounter { asked: bool },
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
    /// Whether an attempt was sent to an endpoint before.
    pub(crate) fn was_sent_to(&self, endpoint: EndpointId) -> bool {
        self.attempts.iter().any(|attempt| attempt.endpoint == endpoint)
    }

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
            quota: QuotaState::LocalBucket,
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
        let votes = self.latency.record_time_budget(class, time_left_ms, FIRST_TRIES);
        let is_common_known = votes.is_some_and(|votes| votes >= MIN_FIRST_TRY_VOTES);
        let later = is_common_known && time_left_ms > settings.latency_objective_ms;
        if later {
            (settings.deadline_ms - time_left_ms).max(0.0)
        } else {
            0.0
        }
    }
}

/// Whether a request may be sent as far as its customer's quota goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum QuotaDecision {
    /// It may be sent now.
    Admit,
    /// It stays queued: an answer, a slot or a part of the ceiling is still to come.
    Wait,
    /// It is over the quota, so it leaves the queue.
    OverQuota,
}
