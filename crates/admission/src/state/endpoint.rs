//! One endpoint of the list, and what is known of it.
use crate::event::{EndpointEntry, EndpointState, Outcome};
use crate::id::{EndpointId, RequestId};
use crate::mechanism::backoff::{Backoff, BackoffLimits};
use crate::mechanism::decaying_rate::DecayingRate;
use crate::mechanism::smoothing::{decay_towards, smooth};
use crate::state::slow_start::{WarmUpBudget, WarmUpTokens};
use std::collections::BTreeMap;

/// The requests that a scoped ejection keeps away from an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EjectionScope {
    /// Requests of one class, an index into the settings.
    Class(usize),
    /// Requests of one plan, an index into the settings.
    Plan(usize),
}

/// One of this gateway's own attempts at an endpoint that has not ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct InFlightAttempt {
    /// When it was sent.
    pub(crate) sent_ms: f64,
    /// Its request.
    pub(crate) request: RequestId,
    /// Its number among the request's attempts.
    pub(crate) attempt: u32,
}

/// One endpoint of the list, and what is known of it.
#[derive(Debug)]
pub(crate) struct Endpoint {
    /// As the list has it.
    entry: EndpointEntry,
    /// This gateway's own attempts that have not ended.
    in_flight: Vec<InFlightAttempt>,
    /// Own attempts sent a second.
    send_rate: DecayingRate,
    /// Tokens for own attempts while it is warming up.
    warm_up_tokens: WarmUpTokens,
    /// When an own attempt was last answered.
    answered_ms: f64,
    /// Fraction of own attempts that ended in errors or broken connections, smoothed.
    error_fraction: f64,
    /// How long it is left alone altogether after failures of own attempts.
    ejection: Backoff,
    /// How long it is left alone with the requests of one class or plan.
    scoped_ejections: BTreeMap<EjectionScope, Backoff>,
    /// Fraction of the requests of each class that failed, as observed by the fleet, smoothed.
    class_failure_fraction: BTreeMap<usize, f64>,
    /// Response time over what is usual, smoothed.
    relative_response_time: f64,
    /// When the fleet last observed its response time.
    response_time_observed_ms: f64,
    /// When the fleet last observed an answer.
    response_observed_ms: f64,
    /// Attempts without an answer that the fleet observed since its last answer.
    missed_responses: u32,
}

impl Endpoint {
    /// An endpoint newly listed, with `warm_up_tokens` to start with.
    pub(crate) fn new(entry: EndpointEntry, now_ms: f64, warm_up_tokens: f64) -> Self {
        Endpoint {
            entry,
            in_flight: Vec::new(),
            send_rate: DecayingRate::default(),
            warm_up_tokens: WarmUpTokens::new(warm_up_tokens, now_ms),
            answered_ms: now_ms,
            error_fraction: 0.0,
            ejection: Backoff::default(),
            scoped_ejections: BTreeMap::new(),
            class_failure_fraction: BTreeMap::new(),
            relative_response_time: 1.0,
            response_time_observed_ms: now_ms,
            response_observed_ms: now_ms,
            missed_responses: 0,
        }
    }

    /// Takes over a new line of the list. A process that has restarted since owes nothing to what the last one
    /// did; only the attempts in flight stay.
    pub(crate) fn update(&mut self, entry: EndpointEntry, now_ms: f64, warm_up_tokens: f64) {
        let restarted = entry.started_at_ms != self.entry.started_at_ms && entry.started_at_ms.is_some();
        if restarted {
            let in_flight = std::mem::take(&mut self.in_flight);
            *self = Endpoint { in_flight, ..Endpoint::new(entry, now_ms, warm_up_tokens) };
            return;
        }
        self.entry = EndpointEntry { started_at_ms: self.entry.started_at_ms, ..entry };
    }

    /// Marks it as no longer listed.
    pub(crate) fn mark_gone(&mut self) {
        self.entry.state = EndpointState::Gone;
    }

    /// Its id.
    pub(crate) fn id(&self) -> EndpointId {
        self.entry.id
    }

    /// Its zone, as an index.
    pub(crate) fn zone(&self) -> usize {
        self.entry.zone
    }

    /// Its machine kind, as an index.
    pub(crate) fn kind(&self) -> usize {
        self.entry.kind
    }

    /// Its cell.
    pub(crate) fn cell(&self) -> u64 {
        self.entry.cell
    }

    /// Whether the list lets it be sent new work.
    pub(crate) fn is_ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }

    /// Whether it is no longer listed.
    pub(crate) fn is_gone(&self) -> bool {
        self.entry.state == EndpointState::Gone
    }

    /// Time since its process started; `None`: that was long ago.
    pub(crate) fn age_ms(&self, now_ms: f64) -> Option<f64> {
        self.entry.started_at_ms.map(|started_ms| now_ms - started_ms)
    }

    /// Whether its process started at least `warm_up_ms` ago.
    pub(crate) fn has_warmed_up(&self, now_ms: f64, warm_up_ms: f64) -> bool {
        self.age_ms(now_ms).is_none_or(|age_ms| age_ms >= warm_up_ms)
    }
}

/// This gateway's own attempts.
impl Endpoint {
    /// Records that an attempt was sent; the send rate is smoothed over `rate_span_s`.
    pub(crate) fn record_sent(&mut self, attempt: InFlightAttempt, rate_span_s: f64) {
        self.send_rate.add(1.0, attempt.sent_ms, rate_span_s);
        self.in_flight.push(attempt);
    }

    /// Takes an ended attempt out of those in flight.
    pub(crate) fn remove_in_flight(&mut self, request: RequestId, attempt: u32) {
        self.in_flight.retain(|a| (a.request, a.attempt) != (request, attempt));
    }

    /// Own attempts that have not ended.
    pub(crate) fn in_flight(&self) -> &[InFlightAttempt] {
        &self.in_flight
    }

    /// When the oldest own attempt in flight was sent.
    pub(crate) fn oldest_sent_ms(&self) -> Option<f64> {
        self.in_flight.iter().map(|a| a.sent_ms).reduce(f64::min)
    }

    /// Mean age of own attempts in flight; `None` where there are none.
    pub(crate) fn mean_in_flight_age_ms(&self, now_ms: f64) -> Option<f64> {
        let count = Some(self.in_flight.len()).filter(|n| *n > 0)?;
        Some(self.in_flight.iter().map(|a| now_ms - a.sent_ms).sum::<f64>() / count as f64)
    }

    /// Own attempts sent a second, smoothed over `span_s`.
    pub(crate) fn send_rate(&self, now_ms: f64, span_s: f64) -> f64 {
        self.send_rate.now(now_ms, span_s)
    }

    /// The tokens for own attempts while it is warming up.
    pub(crate) fn warm_up_tokens(&self, now_ms: f64, budget: WarmUpBudget) -> f64 {
        self.warm_up_tokens.available(now_ms, budget)
    }

    /// Brings its warm-up tokens up to now.
    pub(crate) fn refill_warm_up_tokens(&mut self, now_ms: f64, budget: WarmUpBudget) {
        self.warm_up_tokens.refill(now_ms, budget);
    }

    /// Takes the warm-up token of an attempt that is sent now.
    pub(crate) fn take_warm_up_token(&mut self, now_ms: f64, budget: WarmUpBudget) {
        self.warm_up_tokens.take(now_ms, budget);
    }
}

/// Health as this gateway's own attempts show it.
impl Endpoint {
    /// Records how an own attempt ended. An answer of any kind is a sign of life; errors and broken connections
    /// count by `error_gain` in the smoothed fraction.
    pub(crate) fn record_outcome(&mut self, outcome: Outcome, now_ms: f64, error_gain: f64) {
        match outcome {
            Outcome::Ok => {
                self.answered_ms = now_ms;
                self.ejection.reset_failures();
                self.error_fraction *= 1.0 - error_gain;
            }
            Outcome::Error => {
                self.answered_ms = now_ms;
                smooth(&mut self.error_fraction, 1.0, error_gain);
            }
            Outcome::Overloaded => self.answered_ms = now_ms,
            Outcome::ConnectFailed | Outcome::Reset => smooth(&mut self.error_fraction, 1.0, error_gain),
            Outcome::TimedOut | Outcome::Cancelled | Outcome::TooLate => {}
        }
    }

    /// Fraction of own attempts that ended in errors or broken connections, smoothed.
    pub(crate) fn error_fraction(&self) -> f64 {
        self.error_fraction
    }

    /// When an own attempt was last answered.
    pub(crate) fn answered_ms(&self) -> f64 {
        self.answered_ms
    }

    /// Time since an own attempt was last answered.
    pub(crate) fn unanswered_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.answered_ms
    }

    /// Failures in a row that each led to an ejection.
    pub(crate) fn consecutive_failures(&self) -> u32 {
        self.ejection.failures()
    }

    /// Whether it is left alone altogether.
    pub(crate) fn is_ejected(&self, now_ms: f64) -> bool {
        self.ejection.is_active(now_ms)
    }

    /// Leaves it alone after a failure, the longer the more failures came before.
    pub(crate) fn eject(&mut self, now_ms: f64, limits: BackoffLimits, jitter: f64) {
        self.ejection.record_failure(now_ms, limits, jitter);
    }

    /// Leaves it alone until a time without counting a failure.
    pub(crate) fn pause_until(&mut self, until_ms: f64) {
        self.ejection.pause_until(until_ms);
    }
}

/// Health as the fleet observes it.
impl Endpoint {
    /// Records an answer that some gateway observed.
    pub(crate) fn record_observed_response(&mut self, now_ms: f64) {
        self.response_observed_ms = now_ms;
        self.missed_responses = 0;
    }

    /// Records an attempt without an answer that some gateway observed.
    pub(crate) fn record_missed_response(&mut self) {
        self.missed_responses += 1;
    }

    /// Attempts without an answer that the fleet observed since the last answer.
    pub(crate) fn missed_responses(&self) -> u32 {
        self.missed_responses
    }

    /// Time since the fleet last observed an answer.
    pub(crate) fn unobserved_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.response_observed_ms
    }

    /// Records whether a request of a class failed, and gives the smoothed fraction that did.
    pub(crate) fn record_class_result(&mut self, class: usize, failed: bool, gain: f64) -> f64 {
        let fraction = self.class_failure_fraction.entry(class).or_insert(0.0);
        smooth(fraction, f64::from(u32::from(failed)), gain);
        *fraction
    }

    /// Keeps requests of a class or plan away from it, the longer the more failures came before.
    pub(crate) fn eject_scope(
        &mut self,
        scope: EjectionScope,
        now_ms: f64,
        limits: BackoffLimits,
        jitter: f64,
    ) {
        self.scoped_ejections.entry(scope).or_default().record_failure(now_ms, limits, jitter);
    }

    /// Whether requests of a class or plan are kept away from it.
    pub(crate) fn is_scope_ejected(&self, scope: EjectionScope, now_ms: f64) -> bool {
        self.scoped_ejections.get(&scope).is_some_and(|ejection| ejection.is_active(now_ms))
    }

    /// Whether requests of any class are kept away from it.
    pub(crate) fn is_any_class_ejected(&self, now_ms: f64) -> bool {
        self.scoped_ejections
            .iter()
            .any(|(scope, ejection)| matches!(scope, EjectionScope::Class(_)) && ejection.is_active(now_ms))
    }

    /// Records a good answer to an own attempt: requests of its class come back at once. An endpoint that turns
    /// a plan away above a rate still takes some of it, so that one answer only makes the next ejection shorter.
    pub(crate) fn relax_scoped_ejections(&mut self, class: usize, plan: usize) {
        self.scoped_ejections.remove(&EjectionScope::Class(class));
        if let Some(ejection) = self.scoped_ejections.get_mut(&EjectionScope::Plan(plan)) {
            ejection.forgive_failure();
        }
    }
}

/// How a relative response time is smoothed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResponseTimeSmoothing {
    /// Weight of a new sample.
    pub gain: f64,
    /// Without samples, half of the distance to what is usual is forgotten in this time.
    pub half_life_ms: f64,
}

/// An endpoint's relative response time beside that of its machine kind.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct KindDeviation {
    /// Usual relative response time of the kind.
    pub(crate) baseline: f64,
    /// The endpoint's over that of a clearly slow one of its kind; at least 1.
    pub(crate) excess: f64,
}

/// Response time over what is usual.
impl Endpoint {
    /// The smoothed relative response time as last recorded.
    pub(crate) fn last_relative_response_time(&self) -> f64 {
        self.relative_response_time
    }

    /// The relative response time of own attempts, which returns to 1 without answers.
    pub(crate) fn own_relative_response_time(&self, now_ms: f64, half_life_ms: f64) -> f64 {
        decay_towards(1.0, self.relative_response_time, now_ms - self.answered_ms, half_life_ms)
    }

    /// Records the relative response time of an own attempt.
    pub(crate) fn record_own_response_time(
        &mut self,
        now_ms: f64,
        sample: f64,
        smoothing: ResponseTimeSmoothing,
    ) {
        self.relative_response_time = self.own_relative_response_time(now_ms, smoothing.half_life_ms);
        smooth(&mut self.relative_response_time, sample, smoothing.gain);
    }

    /// Records an own attempt that timed out: its relative response time can only be too low, so that it never
    /// lowers the smoothed one.
    pub(crate) fn record_own_time_out(&mut self, now_ms: f64, sample: f64, smoothing: ResponseTimeSmoothing) {
        let current = self.own_relative_response_time(now_ms, smoothing.half_life_ms);
        self.record_own_response_time(now_ms, sample.max(current), smoothing);
    }

    /// The relative response time as the fleet observes it, which returns to `baseline`, that of its kind,
    /// without observations.
    pub(crate) fn observed_relative_response_time(
        &self,
        now_ms: f64,
        baseline: f64,
        half_life_ms: f64,
    ) -> f64 {
        let elapsed_ms = now_ms - self.response_time_observed_ms;
        decay_towards(baseline, self.relative_response_time, elapsed_ms, half_life_ms)
    }

    /// Records a relative response time that some gateway observed.
    pub(crate) fn record_observed_response_time(
        &mut self,
        now_ms: f64,
        sample: f64,
        baseline: f64,
        smoothing: ResponseTimeSmoothing,
    ) {
        self.relative_response_time =
            self.observed_relative_response_time(now_ms, baseline, smoothing.half_life_ms);
        smooth(&mut self.relative_response_time, sample, smoothing.gain);
        self.response_time_observed_ms = now_ms;
    }
}
