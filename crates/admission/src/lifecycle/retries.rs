//! Gathers the inputs of the retry rules, sends retries, and acts on stalled attempts.
use crate::action::Action;
use crate::gateway::Gateway;
use crate::id::{ClassIndex, RequestId};
use crate::policy::retry;
use crate::policy::retry::{
    AttemptWriteInput, InFlightAttemptInput, RetryDecision, RetryInput, RetryScope, RetryScopeInput,
    StalledAction, StalledActionInput,
};
use crate::state::{ActiveRequest, AttemptId, EjectionScope, FleetMode, InFlightAttemptWithClass};

impl Gateway {
    /// Returns the endpoints at which a request may have another attempt, given its class and its earlier
    /// attempts.
    pub(crate) fn retry_scope(&self, active: &ActiveRequest) -> RetryScope {
        let now_ms = self.clock.now_ms();
        retry::retry_scope(&RetryScopeInput {
            since_first_possible_run_ms: active
                .attempts_that_may_have_run()
                .next()
                .map(|first| now_ms - first.sent_ms),
            has_attempt_in_flight: active.has_attempt_in_flight(),
            hedging_allowed: self.settings.hedging_allowed,
            idempotency: self.settings.class(active.request.class).idempotency,
            tick_ms: self.settings.tick_ms,
        })
    }

    /// Returns whether an attempt that an earlier [`Action::Send`] asked for may be written to its endpoint's
    /// connection at `now_ms`. The host program asks at the moment of each write, because a connection may
    /// take so long to establish that the request could run twice: the endpoints forget its idempotency key.
    ///
    /// Returns `false` if the attempt is not in flight.
    #[must_use]
    pub fn may_write_attempt(&self, now_ms: f64, request: RequestId, attempt: u32) -> bool {
        let Some(active) = self.requests.get(request) else { return false };
        if !active.attempts_in_flight().any(|(number, _)| number == attempt) {
            return false;
        }
        let oldest_other = active.other_attempts_that_may_have_run(attempt).next();
        retry::attempt_may_be_written(&AttemptWriteInput {
            since_other_possible_run_ms: oldest_other.map(|other| now_ms - other.sent_ms),
            idempotency: self.settings.class(active.request.class).idempotency,
            tick_ms: self.settings.tick_ms,
        })
    }

    /// Sends another attempt of a request if one is allowed and an endpoint is found for it. Returns whether
    /// one was sent.
    pub(crate) fn retry(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(active) = self.requests.get(id) else { return false };
        let decision = retry::decide_retry(&RetryInput {
            is_closed: active.is_closed(),
            attempts: active.attempt_count(),
            max_attempts: self.settings.max_attempts,
            is_too_late: self.is_too_late(active),
            may_have_run: active.may_have_run(),
            retry_tokens: self.retry_budget.tokens(),
        });
        let RetryDecision::Retry { cost_tokens } = decision else { return false };
        let Some(endpoint) = self.select_endpoint(id) else { return false };
        self.retry_budget.spend(cost_tokens);
        self.send(id, endpoint, actions);
        true
    }

    /// Hedges or cancels stalled attempts. In a large fleet, also records observations of attempts that have
    /// become slow. Does neither in a correlated failure, when no other endpoint is better.
    pub(crate) fn act_on_stalled_attempts(&mut self, actions: &mut Vec<Action>) {
        if self.outliers.is_correlated_failure() {
            return;
        }
        let stalled = match self.coordination.fleet_mode() {
            FleetMode::Broadcast => self.attempts_at_outliers(),
            FleetMode::LargeFleet => {
                let stalled = self.stalled_attempts();
                self.observe_slow_attempts();
                stalled
            }
        };
        for attempt in stalled {
            self.act_on_stalled_attempt(attempt, actions);
        }
    }

    /// Hedges or cancels a stalled attempt, or leaves it alone.
    fn act_on_stalled_attempt(&mut self, stalled: AttemptId, actions: &mut Vec<Action>) {
        let AttemptId { request, attempt } = stalled;
        let Some(active) = self.requests.get(request) else { return };
        let action = retry::stalled_action(&StalledActionInput {
            is_closed: active.is_closed(),
            attempts: active.attempt_count(),
            max_attempts: self.settings.max_attempts,
            in_flight: active.attempts_in_flight().count(),
            idempotency: self.settings.class(active.request.class).idempotency,
            hedging_allowed: self.settings.hedging_allowed,
            cancel_allowed: self.settings.cancel_allowed,
            retry_tokens: self.retry_budget.tokens(),
        });
        match action {
            StalledAction::Hedge => {
                self.retry(request, actions);
            }
            StalledAction::Cancel => actions.push(Action::Cancel { request, attempt }),
            StalledAction::Leave => {}
        }
    }

    /// Returns this gateway's attempts in flight at outliers, in broadcast mode. There each endpoint gets
    /// enough attempts to be judged by them.
    fn attempts_at_outliers(&self) -> Vec<AttemptId> {
        let outliers = self.endpoints.iter().filter(|endpoint| self.is_outlier(endpoint));
        let in_flight = outliers.flat_map(|endpoint| endpoint.in_flight());
        in_flight.map(|attempt| attempt.attempt_id).collect()
    }

    /// Returns this gateway's stalled attempts, in a large fleet.
    fn stalled_attempts(&self) -> Vec<AttemptId> {
        let in_flight = self.requests.attempts_in_flight();
        in_flight.filter(|attempt| self.is_stalled(attempt)).map(|attempt| attempt.attempt_id).collect()
    }

    /// Returns whether an attempt is stalled, in a large fleet. An attempt at an endpoint that is no longer
    /// known is not.
    fn is_stalled(&self, attempt: &InFlightAttemptWithClass) -> bool {
        let Some(endpoint) = self.endpoints.get(attempt.endpoint) else { return false };
        let now_ms = self.clock.now_ms();
        let class_scope = EjectionScope::Class(attempt.class);
        retry::is_presumed_stalled(&InFlightAttemptInput {
            age_ms: now_ms - attempt.sent_ms,
            slow_after_ms: self.slow_after_ms(attempt.class),
            is_ejected_for_class: endpoint.observed_health.is_ejected(class_scope, now_ms),
            is_outlier: self.is_outlier(endpoint),
            is_unresponsive: self.is_unresponsive(endpoint),
        })
    }

    /// Returns whether an attempt's age has exceeded that from which it is slow since the last round of
    /// upkeep. `false` if the endpoint is no longer known.
    pub(crate) fn has_become_slow(&self, attempt: &InFlightAttemptWithClass) -> bool {
        let age_ms = self.clock.now_ms() - attempt.sent_ms;
        self.endpoints.get(attempt.endpoint).is_some()
            && retry::has_become_slow(age_ms, self.slow_after_ms(attempt.class))
    }

    /// Returns the age from which an attempt of a class is slow, in milliseconds.
    fn slow_after_ms(&self, class: ClassIndex) -> f64 {
        let latency_objective_ms = self.settings.class(class).latency_objective_ms;
        retry::slow_after_ms(self.latency.response_ms(class), latency_objective_ms)
    }
}
