//! Checks requests against their latency objectives and deadlines.
use crate::action::Action;
use crate::gateway::Gateway;
use crate::id::{ClassIndex, RequestId};
use crate::policy::admission::deadline::{is_overdue, RequestTimes};
use crate::policy::admission::elapsed_wait::{already_waited_ms, TimeBudgetInput, TIME_BUDGET_VOTE};
use crate::policy::admission::retry_after::{
    retry_after_over_quota_in_broadcast_mode, retry_after_over_quota_in_large_fleet, retry_after_overdue,
};
use crate::state::{ActiveRequest, FleetMode};

impl Gateway {
    /// Returns the times that decide whether a request is too late or overdue.
    pub(crate) fn request_times(&self, active: &ActiveRequest) -> RequestTimes {
        RequestTimes {
            now_ms: self.clock.now_ms(),
            objective_at_ms: active.objective_at_ms,
            deadline_at_ms: active.deadline_at_ms,
            tick_ms: self.settings.tick_ms,
            class_response_ms: self.latency.response_ms(active.request.class),
            endpoints_loaded: self.band.is_loaded(),
        }
    }

    /// Returns whether a response can no longer be expected within the latency objective, or before the
    /// deadline if that is sooner.
    pub(crate) fn is_too_late(&self, active: &ActiveRequest) -> bool {
        self.request_times(active).is_too_late()
    }

    /// Returns whether a request must be finished now.
    pub(crate) fn is_overdue(&self, active: &ActiveRequest) -> bool {
        !active.is_closed() && is_overdue(&self.request_times(active), active.is_unsent())
    }

    /// Finishes the requests that are overdue.
    pub(crate) fn finish_overdue_requests(&mut self, actions: &mut Vec<Action>) {
        let overdue = self.requests.iter().filter(|active| self.is_overdue(active));
        let overdue: Vec<RequestId> = overdue.map(|active| active.request.id).collect();
        for id in overdue {
            let is_unsent = self.requests.get(id).is_some_and(ActiveRequest::is_unsent);
            let retry_after_ms = retry_after_overdue(is_unsent, self.settings.max_retry_after_ms);
            self.finish(id, retry_after_ms, actions);
        }
    }

    /// Counts the time budget of a new request, `time_left_ms`, in the vote on the most common time budget of
    /// its class, and returns how long the request's client has already waited, in milliseconds. The time
    /// budget is the time for which the client still waits.
    pub(crate) fn already_waited_ms(&mut self, class: ClassIndex, time_left_ms: f64) -> f64 {
        let votes = self.latency.record_time_budget(class, time_left_ms, TIME_BUDGET_VOTE);
        let settings = self.settings.class(class);
        already_waited_ms(&TimeBudgetInput {
            time_left_ms,
            votes_for_another_budget: votes,
            latency_objective_ms: settings.latency_objective_ms,
            deadline_ms: settings.deadline_ms,
        })
    }

    /// Returns the `Retry-After` of a queued request that is over its quota, in milliseconds.
    pub(crate) fn over_quota_retry_after_ms(&self) -> Option<f64> {
        match self.coordination.fleet_mode() {
            FleetMode::Broadcast => retry_after_over_quota_in_broadcast_mode(),
            FleetMode::LargeFleet => retry_after_over_quota_in_large_fleet(self.settings.max_retry_after_ms),
        }
    }
}
