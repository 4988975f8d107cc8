//! Requests in work and their attempts.
use crate::event::{Outcome, Request};
use crate::gateway::Gateway;
use crate::id::{EndpointId, RequestId};
use crate::settings::{DedupGroup, Idempotency};
use crate::state::endpoint::Endpoint;
use std::collections::BTreeMap;

/// Who decides whether a request is within its customer's quota, and what was decided.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) enum QuotaState {
    /// This gateway's own token bucket decides; nobody is asked.
    #[default]
    LocalBucket,
    /// The quota's owner was asked and has not answered.
    AwaitingOwner { owner: usize, number: u32, at_ms: f64, tries: u32 },
    /// The owner keeps the request waiting until the customer has a free slot.
    QueuedAtOwner { owner: usize, number: u32 },
    /// The owner granted it.
    GrantedByOwner { owner: usize, number: u32 },
    /// It is over the quota. Within the ceiling it may still be sent while there is room.
    OverQuota { within_ceiling: bool },
    /// The quota counter was asked and has not answered.
    AwaitingCounter,
    /// It may be sent: the counter said so, or was not asked about it.
    AdmittedByCounter { asked: bool },
}

impl QuotaState {
    /// What has been decided already; `None` where this gateway's own records are still to be checked.
    pub(crate) fn decision(&self) -> Option<QuotaDecision> {
        match self {
            QuotaState::LocalBucket | QuotaState::AdmittedByCounter { .. } => None,
            QuotaState::GrantedByOwner { .. } => Some(QuotaDecision::Admit),
            QuotaState::OverQuota { .. } => Some(QuotaDecision::OverQuota),
            QuotaState::AwaitingOwner { .. }
            | QuotaState::QueuedAtOwner { .. }
            | QuotaState::AwaitingCounter => Some(QuotaDecision::Wait),
        }
    }

    /// Whether the request's attempts count to its customer at this gateway; else the quota's owner counts
    /// them.
    pub(crate) fn holds_slot_here(&self) -> bool {
        matches!(self, QuotaState::LocalBucket | QuotaState::AdmittedByCounter { .. })
    }

    /// Whether a response of this owner to the quota request of this number is awaited.
    pub(crate) fn awaits_response(&self, from: usize, response_to: u32) -> bool {
        match *self {
            QuotaState::AwaitingOwner { owner, number, .. } | QuotaState::QueuedAtOwner { owner, number } => {
                owner == from && number == response_to
            }
            _ => false,
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

/// What the customer's token bucket at this gateway says of a new request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OwnBucketCheck {
    /// The request is within the quota.
    pub(crate) is_met: bool,
    /// Beyond its quota the request may still be sent where there is room.
    pub(crate) may_exceed: bool,
    /// When the bucket will have filled enough for the request; `None` where it never does.
    pub(crate) retry_after_ms: Option<f64>,
}

/// An attempt of a request: what was sent, to which endpoint, and what became of it.

#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    /// The endpoint's zone when it was sent.
    pub(crate) zone: usize,
    /// The endpoint's cell when it was sent.
    pub(crate) cell: u64,
    pub(crate) sent_ms: f64,
    /// It has not ended yet.
    pub(crate) pending: bool,
    /// It has ended, and the endpoint may have done the work.
    pub(crate) may_have_run: bool,
}

impl Attempt {
    /// Whether the endpoint may have done the work, or may still do it.
    pub(crate) fn is_risky(&self) -> bool {
        self.pending || self.may_have_run
    }

    /// Whether an endpoint belongs to the group that drops a repeat of this attempt's idempotency key.
    pub(crate) fn shares_keys_with(&self, endpoint: &Endpoint, group: DedupGroup) -> bool {
        match group {
            DedupGroup::All => true,
            DedupGroup::Zone => self.zone == endpoint.zone(),
            DedupGroup::Cell => self.cell == endpoint.cell(),
        }
    }
}

/// Names an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AttemptRef {
    /// The request.
    pub(crate) request: RequestId,
    /// The attempt's number among those of its request, from 0.
    pub(crate) attempt: u32,
}

/// An attempt in flight.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingAttempt {
    pub(crate) reference: AttemptRef,
    pub(crate) class: usize,
    pub(crate) endpoint: EndpointId,
    pub(crate) sent_ms: f64,
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
    /// So much of the quota is left that the true units need not be reported.
    pub(crate) ample: bool,
}

impl ActiveRequest {
    /// Whether the request still waits for the counter: its client may have gone, or its time may be over.
    pub(crate) fn awaits_counter(&self) -> bool {
        !self.answered && self.quota == QuotaState::AwaitingCounter
    }

    /// A request just taken in.
    pub(crate) fn new(request: Request, tag: u64, now_ms: f64, objective_ms: f64) -> Self {
        ActiveRequest {
            tag,
            objective_at_ms: now_ms + objective_ms,
            deadline_ms: now_ms + request.time_left_ms,
            attempts: Vec::new(),
            answered: false,
            closed: false,
            within_quota: false,
            quota: QuotaState::LocalBucket,
            settled_units: 0.0,
            ample: false,
            request,
        }
    }

    /// Whether an attempt was sent to an endpoint before.
    pub(crate) fn was_sent_to(&self, endpoint: EndpointId) -> bool {
        self.attempts.iter().any(|attempt| attempt.endpoint == endpoint)
    }

    /// Attempts whose endpoint may have done the work or may still do it, oldest first.
    pub(crate) fn risky_attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.is_risky())
    }

    /// Whether any endpoint may have done the work or may still do it.
    pub(crate) fn may_have_run(&self) -> bool {
        self.risky_attempts().next().is_some()
    }

    /// Attempts in flight, each with its number, oldest first.
    pub(crate) fn pending_attempts(&self) -> impl Iterator<Item = (u32, &Attempt)> {
        (0u32..).zip(&self.attempts).filter(|(_, attempt)| attempt.pending)
    }

    /// Marks an attempt as ended. `false` where no such attempt is in flight.
    pub(crate) fn end_attempt(&mut self, number: u32, outcome: Outcome) -> bool {
        let attempt = self.attempts.get_mut(number as usize).filter(|attempt| attempt.pending);
        let Some(attempt) = attempt else { return false };
        attempt.pending = false;
        attempt.may_have_run =
            !matches!(outcome, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::TooLate);
        true
    }

    /// Marks the request as answered and its attempts as cancelled. Whether that was so before.
    pub(crate) fn close(&mut self) -> bool {
        self.answered = true;
        std::mem::replace(&mut self.closed, true)
    }

    /// Whether an attempt is in flight.
    pub(crate) fn has_pending(&self) -> bool {
        self.pending_attempts().next().is_some()
    }
}

/// Requests taken in that are not answered yet or have attempts in flight.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    by_id: BTreeMap<RequestId, ActiveRequest>,
}

impl RequestTable {
    /// Whether there is no request.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Whether there is a request of this id.
    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// A request's record.
    pub(crate) fn get(&self, id: RequestId) -> Option<&ActiveRequest> {
        self.by_id.get(&id)
    }

    /// A request's record, to be changed.
    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut ActiveRequest> {
        self.by_id.get_mut(&id)
    }

    /// Enters a request.
    pub(crate) fn insert(&mut self, active: ActiveRequest) {
        self.by_id.insert(active.request.id, active);
    }

    /// Takes a request out.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<ActiveRequest> {
        self.by_id.remove(&id)
    }

    /// All requests, in the order of their ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &ActiveRequest> {
        self.by_id.values()
    }

    /// All attempts in flight, by request.
    pub(crate) fn pending_attempts(&self) -> impl Iterator<Item = PendingAttempt> + '_ {
        self.iter().flat_map(|active| {
            active.pending_attempts().map(|(number, attempt)| PendingAttempt {
                reference: AttemptRef { request: active.request.id, attempt: number },
                class: active.request.class,
                endpoint: attempt.endpoint,
                sent_ms: attempt.sent_ms,
            })
        })
    }
}

/// Tokens for further attempts: first attempts bring some, each further one costs some. So retries stay a
/// part of all attempts, also while many fail.
#[derive(Debug, Default)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A budget that starts with these tokens.
    pub(crate) fn new(tokens: f64) -> Self {
        RetryBudget { tokens }
    }

    /// Adds tokens, up to `limit` in all.
    pub(crate) fn earn(&mut self, tokens: f64, limit: f64) {
        self.tokens = (self.tokens + tokens).min(limit);
    }

    /// Whether there are as many tokens.
    pub(crate) fn can_spend(&self, tokens: f64) -> bool {
        self.tokens >= tokens
    }

    /// Takes tokens out.
    pub(crate) fn spend(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}

impl Gateway {
    /// Whether the promise of a rejection can be kept: that trying again is harmless.
    pub(crate) fn may_reject(&self, active: &ActiveRequest) -> bool {
        let risky = active.may_have_run();
        match self.settings.classes[active.request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => !risky,
            Idempotency::IdempotencyKey { group, .. } => !risky || group == DedupGroup::All,
        }
    }
}
