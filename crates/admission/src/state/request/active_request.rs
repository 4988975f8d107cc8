//! Active requests: those that have no final response yet or have an attempt in flight.
use crate::event::Request;
use crate::id::{CustomerKey, EndpointId, RequestId};
use crate::state::{Attempt, AttemptId, Endpoint, InFlightAttemptWithClass, QuotaState};
use std::collections::BTreeMap;

/// A request from its receipt until it has its final response and all its attempts have ended.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    /// The request as it was received.
    pub(crate) request: Request,
    /// The key of the customer's record.
    pub(crate) customer_key: CustomerKey,
    /// When the latency objective is reached, in milliseconds.
    pub(crate) objective_at_ms: f64,
    /// When the client stops waiting, in milliseconds.
    pub(crate) deadline_at_ms: f64,
    /// The attempts, in the order in which they were sent.
    attempts: Vec<Attempt>,
    /// Whether the request has its final response or its client has disconnected.
    closed: bool,
    /// State of the request's quota check.
    quota_state: QuotaState,
    /// Units by which the attempts' true units exceed the estimate, below 0 if they fall short of it. They
    /// are summed unless this gateway's token bucket decides on the quota, which is charged at once.
    excess_units: f64,
}

impl ActiveRequest {
    /// Returns whether the request still awaits a response of the quota counter. It no longer does once its
    /// client has disconnected or its time is over.
    pub(crate) fn awaits_counter(&self) -> bool {
        !self.closed && self.quota_state == QuotaState::AwaitingCounter
    }

    /// Creates the record of a request that is received now and whose latency objective is reached after
    /// `objective_ms`.
    pub(crate) fn new(request: Request, customer_key: CustomerKey, now_ms: f64, objective_ms: f64) -> Self {
        ActiveRequest {
            customer_key,
            objective_at_ms: now_ms + objective_ms,
            deadline_at_ms: now_ms + request.time_left_ms,
            attempts: Vec::new(),
            closed: false,
            quota_state: QuotaState::LocalBucket { within_quota: false },
            excess_units: 0.0,
            request,
        }
    }

    /// Returns the state of the request's quota check.
    pub(crate) fn quota_state(&self) -> QuotaState {
        self.quota_state
    }

    /// Sets the state of the request's quota check.
    pub(crate) fn set_quota_state(&mut self, quota_state: QuotaState) {
        self.quota_state = quota_state;
    }

    /// Adds the units by which an ended attempt's true units exceed the estimate, below 0 if they fall short
    /// of it, to be settled with the quota's owner or the counter if one of them counts the request.
    pub(crate) fn add_excess_units(&mut self, excess_units: f64) {
        self.excess_units += excess_units;
    }

    /// Returns the units by which the attempts' true units exceed the estimate, below 0 if they fall short of
    /// it; 0 if this gateway's token bucket decides on the quota.
    pub(crate) fn excess_units(&self) -> f64 {
        self.excess_units
    }

    /// Returns the number of attempts that were sent.
    pub(crate) fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether no attempt was sent yet.
    pub(crate) fn is_unsent(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Records an attempt that is sent to an endpoint now, and returns its id.
    pub(crate) fn start_attempt(&mut self, endpoint: &Endpoint, now_ms: f64) -> AttemptId {
        let attempt = self.attempts.len() as u32;
        self.attempts.push(Attempt::new(endpoint, now_ms));
        AttemptId { request: self.request.id, attempt }
    }

    /// Returns whether an attempt was sent to an endpoint before.
    pub(crate) fn was_sent_to(&self, endpoint: EndpointId) -> bool {
        self.attempts.iter().any(|attempt| attempt.endpoint == endpoint)
    }

    /// Returns the attempts whose endpoint may have run the request or may still run it, oldest first.
    pub(crate) fn attempts_that_may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.may_have_run())
    }

    /// Returns the attempts other than number `attempt` whose endpoint may have run the request or may still
    /// run it, oldest first.
    pub(crate) fn other_attempts_that_may_have_run(&self, attempt: u32) -> impl Iterator<Item = &Attempt> {
        let others = (0u32..).zip(&self.attempts).filter(move |(number, _)| *number != attempt);
        others.map(|(_, other)| other).filter(|other| other.may_have_run())
    }

    /// Returns whether any endpoint may have run the request or may still run it.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts_that_may_have_run().next().is_some()
    }

    /// Returns the attempts in flight, each with its number, oldest first.
    pub(crate) fn attempts_in_flight(&self) -> impl Iterator<Item = (u32, &Attempt)> {
        (0u32..).zip(&self.attempts).filter(|(_, attempt)| attempt.is_in_flight())
    }

    /// Marks an attempt as ended. Returns `false` if no such attempt is in flight.
    pub(crate) fn end_attempt(&mut self, number: u32, may_have_run: bool) -> bool {
        let attempt = self.attempts.get_mut(number as usize).filter(|attempt| attempt.is_in_flight());
        let Some(attempt) = attempt else { return false };
        attempt.end(may_have_run);
        true
    }

    /// Returns whether the request has its final response or its client has disconnected.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed
    }

    /// Marks the request as closed. Returns `false` if it was closed before.
    pub(crate) fn close(&mut self) -> bool {
        !std::mem::replace(&mut self.closed, true)
    }

    /// Returns whether an attempt is in flight.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts_in_flight().next().is_some()
    }
}

/// The active requests, by id.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    /// Each active request's record.
    by_id: BTreeMap<RequestId, ActiveRequest>,
}

impl RequestTable {
    /// Returns whether there is no active request.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns whether a request of this id is active.
    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Returns the record of an active request.
    pub(crate) fn get(&self, id: RequestId) -> Option<&ActiveRequest> {
        self.by_id.get(&id)
    }

    /// Returns the record of an active request, to be changed.
    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut ActiveRequest> {
        self.by_id.get_mut(&id)
    }

    /// Inserts a request.
    pub(crate) fn insert(&mut self, active: ActiveRequest) {
        self.by_id.insert(active.request.id, active);
    }

    /// Removes a request and returns it.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<ActiveRequest> {
        self.by_id.remove(&id)
    }

    /// Returns all active requests, in the order of their ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &ActiveRequest> {
        self.by_id.values()
    }

    /// Returns all attempts in flight, request by request.
    pub(crate) fn attempts_in_flight(&self) -> impl Iterator<Item = InFlightAttemptWithClass> + '_ {
        self.iter().flat_map(|active| {
            active.attempts_in_flight().map(|(number, attempt)| InFlightAttemptWithClass {
                attempt_id: AttemptId { request: active.request.id, attempt: number },
                class: active.request.class,
                endpoint: attempt.endpoint,
                sent_ms: attempt.sent_ms,
            })
        })
    }
}
