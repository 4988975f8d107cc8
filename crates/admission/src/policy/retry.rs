//! Further attempts: idempotency, retry budget, hedging, and stalled attempts.
use crate::action::Action;
use crate::gateway::Gateway;
use crate::id::{ClassIndex, RequestId};
use crate::policy::upkeep::UPKEEP_MS;
use crate::settings::Idempotency;
use crate::state::{ActiveRequest, AttemptRef, EjectionScope, Endpoint, FleetMode, PendingAttempt};

/// Retry tokens at the start, those that each first attempt brings, and the limit to which they are saved up.
pub(crate) const INITIAL_RETRY_TOKENS: f64 = 10.0;
pub(crate) const RETRY_TOKENS_PER_REQUEST: f64 = 0.2;
pub(crate) const MAX_RETRY_TOKENS: f64 = 20.0;

/// Retry tokens that a further attempt costs: a whole one where an earlier attempt may have run, since work
/// may then be done twice; less where none did.
const RISKY_RETRY_COST: f64 = 1.0;
const SAFE_RETRY_COST: f64 = 0.2;

/// Part of an idempotency key's window that is used: a margin for the network, since the window counts where
/// the endpoints are.
const KEY_WINDOW_FRACTION: f64 = 0.9;

/// An attempt in flight is reported as long after this many mean response times, and this part of the latency
/// objective at least. It is taken for stalled after so many times as long, or at once where others reported
/// the same of the endpoint.
const LONG_RESPONSE_TIMES: f64 = 2.5;
const LONG_OBJECTIVE_FRACTION: f64 = 0.25;
const STALLED_FACTOR: f64 = 1.6;

impl Gateway {
    /// Whether a request may have an attempt at this endpoint, by what its class and earlier ones allow.
    pub(crate) fn may_attempt(&self, active: &ActiveRequest, endpoint: &Endpoint) -> bool {
        let Some(first) = active.risky_attempts().next() else { return true };
        if !self.settings.hedging_allowed && active.has_pending() {
            return false;
        }
        match self.settings.class(active.request.class).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotencyKey { group, window_ms } => {
                let limit_ms = KEY_WINDOW_FRACTION * window_ms - 2.0 * self.settings.tick_ms;
                self.clock.now_ms() - first.sent_ms < limit_ms
                    && active.risky_attempts().all(|attempt| attempt.shares_keys_with(endpoint, group))
            }
        }
    }

    /// Makes a further attempt where class, time and the retry budget allow one.
    pub(crate) fn retry(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(active) = self.requests.get(id) else { return false };
        if !active.may_attempt_again(self.settings.max_attempts) || self.cannot_meet_deadline(active) {
            return false;
        }
        let cost = if active.may_have_run() { RISKY_RETRY_COST } else { SAFE_RETRY_COST };
        if !self.retries.can_spend(cost) {
            return false;
        }
        let Some(endpoint) = self.select_endpoint(id) else { return false };
        self.retries.spend(cost);
        self.send(id, endpoint, actions);
        true
    }

    /// Hedges stalled attempts, or cancels them where hedging is not allowed, so that they are tried again.
    /// Guards against hung machines and lost zones, whatever the cause.
    pub(crate) fn rescue_stalled(&mut self, actions: &mut Vec<Action>) {
        if self.outliers.is_correlated_failure() {
            return;
        }
        let stalled = self.stalled_attempts();
        match self.coordination.fleet_mode() {
            FleetMode::Broadcast => {}
            FleetMode::LargeFleet => self.report_long_attempts(),
        }
        for AttemptRef { request, attempt } in stalled {
            let Some(active) = self.requests.get(request) else { continue };
            let is_hedged = active.pending_attempts().count() > 1;
            if !active.may_attempt_again(self.settings.max_attempts) || is_hedged {
                continue;
            }
            let idempotency = self.settings.class(active.request.class).idempotency;
            let may_repeat = idempotency != Idempotency::NonIdempotent;
            if self.settings.hedging_allowed {
                self.retry(request, actions);
            } else if self.settings.cancel_allowed && may_repeat && self.retries.can_spend(RISKY_RETRY_COST) {
                actions.push(Action::Cancel { request, attempt });
            }
        }
    }

    /// Own attempts that their endpoint is taken to leave unanswered. A small fleet goes by the endpoint
    /// alone. In a large one a gateway sends an endpoint too little for that, and goes by their age.
    fn stalled_attempts(&self) -> Vec<AttemptRef> {
        if self.coordination.is_broadcast() {
            let outliers = self.endpoints.iter().filter(|endpoint| self.is_outlier(endpoint));
            let in_flight = outliers.flat_map(|endpoint| endpoint.in_flight());
            in_flight.map(|a| AttemptRef { request: a.request, attempt: a.attempt }).collect()
        } else {
            let pending = self.requests.pending_attempts();
            pending.filter(|p| self.is_stalled(p)).map(|p| p.reference).collect()
        }
    }

    /// Whether an attempt is taken for stalled in a large fleet.
    fn is_stalled(&self, pending: &PendingAttempt) -> bool {
        let Some(endpoint) = self.endpoints.get(pending.endpoint) else { return false };
        let reported = endpoint.observed.is_ejected(EjectionScope::Class(pending.class), self.clock.now_ms());
        let limit_ms = self.long_response_ms(pending.class) * if reported { 1.0 } else { STALLED_FACTOR };
        self.is_outlier(endpoint)
            || self.is_unresponsive(endpoint)
            || self.clock.now_ms() - pending.sent_ms > limit_ms
    }

    /// Whether an attempt has begun to take long since the last round of upkeep.
    pub(crate) fn turned_long(&self, pending: &PendingAttempt) -> bool {
        let limit_ms = self.long_response_ms(pending.class);
        let age_ms = self.clock.now_ms() - pending.sent_ms;
        self.endpoints.get(pending.endpoint).is_some() && age_ms > limit_ms && age_ms < limit_ms + UPKEEP_MS
    }

    /// The time after which an attempt of a class takes long.
    fn long_response_ms(&self, class: ClassIndex) -> f64 {
        let by_mean_ms = self.latency.response_ms(class) * LONG_RESPONSE_TIMES;
        by_mean_ms.max(LONG_OBJECTIVE_FRACTION * self.settings.class(class).latency_objective_ms)
    }
}
