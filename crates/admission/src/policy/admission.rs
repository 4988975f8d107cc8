//! Whether a request is admitted, queued or rejected.
use crate::action::Action;
use crate::gateway::Gateway;
use crate::id::{ClassIndex, RequestId};
use crate::mechanism::common_value::VoteLimits;
use crate::policy::dispatch::MIN_WEIGHT;
use crate::policy::upkeep::UPKEEP_MS;
use crate::state::{ActiveRequest, GatewaySet, OwnBucketCheck, QuotaDecision, QuotaState};

/// For this long after its start a gateway spends only its part of each burst: its peers' use is unknown.
const STARTUP_MS: f64 = 1000.0;

/// First tries of a class come with the same time left, found by vote; and the votes that make sure of it.
const FIRST_TRIES: VoteLimits = VoteLimits { tolerance: 0.02, votes_for: 4, max_votes: 30 };
const MIN_FIRST_TRY_VOTES: i32 = 10;

/// Mean response times that must be left before the deadline for a request to be sent. Response times spread
/// widely, and a response that the client no longer waits for is wasted work; that costs most while endpoints
/// are saturated. Else little is enough: a fleet that has been slow must be sent something to be seen well.
const MIN_RESPONSE_TIMES_LEFT_SATURATED: f64 = 2.5;
const MIN_RESPONSE_TIMES_LEFT: f64 = 0.8;

/// Requests queued at most: a bound on memory, far above what can be served within a latency objective.
const MAX_QUEUED: usize = 4000;

impl Gateway {
    /// In a large fleet every request is queued, and its quota asked about, unless it comes too late.
    pub(crate) fn admit_in_large_fleet(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get(id) else { return };
        if self.cannot_meet_deadline(active) || self.queue.len() >= MAX_QUEUED {
            return self.finish(id, self.overload_retry_after(), actions);
        }
        let priority_weight = self.settings.class(active.request.class).priority_weight;
        let size = active.request.units / priority_weight.max(MIN_WEIGHT);
        let weight = self.flow_weight(self.settings.plan(active.request.plan));
        self.queue.enqueue(active.tag, id, size, weight);
        self.check_quota(id, actions);
    }

    /// In a small fleet a request goes straight out where quota and band have room. Else it is queued within
    /// its quota, and rejected beyond it.
    pub(crate) fn admit_in_small_fleet(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(quota) = self.check_own_bucket(id) else { return };
        let Some(active) = self.requests.get(id) else { return };
        let (tag, units, plan) = (active.tag, active.request.units, active.request.plan);
        if self.cannot_meet_deadline(active) {
            // A client's last try may come with no time left to serve it.
            return self.finish(id, self.overload_retry_after(), actions);
        }
        let position = self.band_position(id);
        let may_send = if quota.is_met {
            position.under_upper && self.quota_decision(id) == QuotaDecision::Admit
        } else {
            position.under_lower && quota.may_exceed
        };
        if may_send && !self.band.is_blocked() {
            if let Some(endpoint) = self.select_endpoint(id) {
                return self.send(id, endpoint, actions);
            }
        }
        if quota.is_met && self.queue.len() < MAX_QUEUED {
            self.queue.enqueue(tag, id, units, self.flow_weight(self.settings.plan(plan)));
        } else {
            self.finish(id, quota.retry_after_ms, actions);
        }
    }

    /// What the customer's token bucket here has for a new request beside those already queued.
    fn check_own_bucket(&mut self, id: RequestId) -> Option<OwnBucketCheck> {
        let active = self.requests.get(id)?;
        let (tag, request) = (active.tag, active.request.clone());
        let plan = self.settings.plan(request.plan).clone();
        let gateways = GatewaySet::of_request(&request, self.settings.gateways);
        let starting = self.clock.since_start_ms() < STARTUP_MS;
        let withheld = if starting { plan.burst_units * (1.0 - 1.0 / gateways.len() as f64) } else { 0.0 };
        let reserved = self.queue.queued_size(tag);
        let customer = self.customer_entry(tag, request.plan, gateways);
        let room = customer.quota_tokens() - reserved - withheld;
        let ceiling_met = plan.ceiling_rate_per_second <= 0.0 || customer.ceiling_tokens() >= request.units;
        let check = OwnBucketCheck {
            is_met: plan.rate_per_second <= 0.0 || room >= request.units,
            may_exceed: plan.pays_over_quota() && ceiling_met,
            retry_after_ms: plan.refill_time_ms(request.units - room),
        };
        self.requests.get_mut(id)?.set_quota(QuotaState::LocalBucket { within_quota: check.is_met });
        Some(check)
    }

    /// How long a request's client has waited already. First tries of a class all come with the same time
    /// left, the commonest; a later try has what is left of the deadline. A time below the latency objective
    /// is that of an impatient client. Nothing is concluded while no time is common.
    pub(crate) fn already_waited_ms(&mut self, class: ClassIndex, time_left_ms: f64) -> f64 {
        let settings = self.settings.class(class);
        match self.latency.record_time_budget(class, time_left_ms, FIRST_TRIES) {
            Some(votes) if votes >= MIN_FIRST_TRY_VOTES && time_left_ms > settings.latency_objective_ms => {
                (settings.deadline_ms - time_left_ms).max(0.0)
            }
            _ => 0.0,
        }
    }

    /// Whether a response can no longer come within both the latency objective and the client's wait.
    pub(crate) fn cannot_meet_deadline(&self, active: &ActiveRequest) -> bool {
        let end_ms = active.objective_at_ms.min(active.deadline_ms - UPKEEP_MS - 2.0 * self.settings.tick_ms);
        let response_times = if self.band.is_saturated() {
            MIN_RESPONSE_TIMES_LEFT_SATURATED
        } else {
            MIN_RESPONSE_TIMES_LEFT
        };
        end_ms - self.clock.now_ms() < response_times * self.latency.response_ms(active.request.class)
    }

    /// Whether a request must be finished now: its deadline is near, or it is unsent and cannot meet it.
    pub(crate) fn is_overdue(&self, active: &ActiveRequest) -> bool {
        let is_late = active.deadline_ms - self.clock.now_ms() < UPKEEP_MS + 2.0 * self.settings.tick_ms;
        !active.is_closed() && (is_late || active.is_unsent() && self.cannot_meet_deadline(active))
    }

    /// When to try again at a gateway that had no room in time: after the longest wait that clients honour.
    /// An earlier try would most likely be too late as well, and each has its cost.
    pub(crate) fn overload_retry_after(&self) -> Option<f64> {
        Some(self.settings.max_retry_after_ms).filter(|ms| *ms > 0.0)
    }

    /// When to try again with a queued request that went over its quota; a small fleet gives no time.
    pub(crate) fn over_quota_retry_after(&self) -> Option<f64> {
        (!self.coordination.is_broadcast()).then_some(self.settings.max_retry_after_ms)
    }
}
