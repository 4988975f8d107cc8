//! Further attempts: idempotency, retry budget, hedging.
use crate::action::Action;
use crate::gateway::{Gateway, UPKEEP_MS};
use crate::id::RequestId;
use crate::messages::observation::ObservationKind;
use crate::settings::{DedupGroup, Idempotency};
use crate::state::endpoint::{EjectionScope, Endpoint};
use crate::state::request::ActiveRequest;

/// Further attempts earned by each first one, and the most that may be saved up.
pub(crate) const RETRY_TOKENS_PER_REQUEST: f64 = 0.2;
pub(crate) const MAX_RETRY_TOKENS: f64 = 20.0;

/// Usual residences, and part of the aim, after which an attempt is told as out for long; and how many times
/// that until it is taken for stuck though nobody else told the same.
pub(crate) const LONG_RESPONSE_TIMES: f64 = 2.5;
pub(crate) const LONG_OBJECTIVE_FRACTION: f64 = 0.25;
pub(crate) const STALLED_FACTOR: f64 = 1.6;

impl Gateway {
    /// Whether an attempt at this endpoint keeps rule 2.
    pub(crate) fn may_attempt(&self, active: &ActiveRequest, endpoint: &Endpoint) -> bool {
        let mut risky = active.attempts.iter().filter(|a| a.pending || a.may_have_run).peekable();
        let Some(first) = risky.peek() else { return true };
        if !self.settings.hedging_allowed && active.attempts.iter().any(|a| a.pending) {
            return false;
        }
        match self.settings.classes[active.request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotencyKey { group, window_ms } => {
                // A margin for the ways of the network: the window counts where the endpoints are.
                let in_time =
                    self.clock.now_ms - first.sent_ms < 0.9 * window_ms - 2.0 * self.settings.tick_ms;
                in_time
                    && risky.all(|a| match group {
                        DedupGroup::All => true,
                        DedupGroup::Zone => a.zone == endpoint.zone(),
                        DedupGroup::Cell => a.cell == endpoint.cell(),
                    })
            }
        }
    }

    /// Another attempt where class, time and the retry budget allow.
    pub(crate) fn retry(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(active) = self.requests.active.get(&id) else { return false };
        if active.answered
            || self.cannot_meet_deadline(active)
            || active.attempts.len() >= self.settings.max_attempts as usize
        {
            return false;
        }
        let price = if active.attempts.iter().any(|a| a.pending || a.may_have_run) { 1.0 } else { 0.2 };
        if self.retries.tokens < price {
            return false;
        }
        let Some(endpoint) = self.select_endpoint(id) else { return false };
        self.retries.tokens -= price;
        self.send(id, endpoint, actions);
        true
    }

    /// Work stuck on an ailing endpoint gets a second copy, or where copies are not allowed is called off and
    /// tried again. Guards against hung machines and lost zones, whatever the cause.
    pub(crate) fn rescue_stalled(&mut self, actions: &mut Vec<Action>) {
        if self.outliers.is_correlated_failure() {
            return;
        }
        let mut stuck = if self.coordination.is_broadcast() { Vec::new() } else { self.stalled_attempts() };
        for endpoint in
            self.endpoints.iter().filter(|s| self.coordination.is_broadcast() && self.is_outlier(s))
        {
            stuck.extend(endpoint.in_flight().iter().map(|a| (a.request, a.attempt)));
        }
        for (id, attempt) in stuck {
            let Some(active) = self.requests.active.get(&id) else { continue };
            let pending = active.attempts.iter().filter(|a| a.pending).count();
            if active.answered || pending > 1 || active.attempts.len() >= self.settings.max_attempts as usize
            {
                continue;
            }
            let once = self.settings.classes[active.request.class].idempotency == Idempotency::NonIdempotent;
            if self.settings.hedging_allowed {
                self.retry(id, actions);
            } else if self.settings.cancel_allowed && !once && self.retries.tokens >= 1.0 {
                actions.push(Action::Cancel { request: id, attempt });
            }
        }
    }

    /// Own attempts that their endpoint is taken to leave unanswered: out for very long, or long where others
    /// told the same of the endpoint.
    pub(crate) fn stalled_attempts(&mut self) -> Vec<(RequestId, u32)> {
        let (mut stuck, mut marks) = (Vec::new(), Vec::new());
        for (id, active) in &self.requests.active {
            let class = active.request.class;
            let limit = self.latency.response_ms(class) * LONG_RESPONSE_TIMES;
            let limit =
                limit.max(LONG_OBJECTIVE_FRACTION * self.settings.classes[class].latency_objective_ms);
            for (number, attempt) in (0u32..).zip(&active.attempts).filter(|(_, a)| a.pending) {
                let Some(endpoint) = self.endpoints.get(attempt.endpoint) else { continue };
                let marked = endpoint.is_scope_ejected(EjectionScope::Class(class), self.clock.now_ms);
                let age = self.clock.now_ms - attempt.sent_ms;
                let silent = self.is_outlier(endpoint) || self.is_unresponsive(endpoint);
                if silent || age > limit * if marked { 1.0 } else { STALLED_FACTOR } {
                    stuck.push((*id, number));
                }
                if age > limit && age < limit + UPKEEP_MS {
                    marks.push((attempt.endpoint, ObservationKind::Failed { class }));
                }
            }
        }
        marks.iter().for_each(|m| self.record_observation(m.0, m.1));
        stuck
    }
}
