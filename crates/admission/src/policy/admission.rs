//! Whether a request is admitted, queued or rejected.
use crate::action::Action;
use crate::event::Request;
use crate::gateway::{Gateway, UPKEEP_MS};
use crate::mechanism::common_value::VoteLimits;
use crate::state::customer::customer_tag;
use crate::state::request::ActiveRequest;
use crate::state::request::QuotaDecision;

/// For so long after its start a gateway spends only its part of each burst: peers may not have told theirs.
pub(crate) const STARTUP_MS: f64 = 1000.0;

/// First tries of a class come with one time left, found by vote; and the votes that make sure of it.
pub(crate) const FIRST_TRIES: VoteLimits = VoteLimits { tolerance: 0.02, votes_for: 4, max_votes: 30 };
pub(crate) const MIN_FIRST_TRY_VOTES: i32 = 10;

/// Usual residences that must be left for a request to be sent: answers spread widely, and one that its
/// client no longer waits for is work wasted, which costs most while the endpoints are pressed. Else the
/// least is enough: were it never, a fleet that has been slow would be sent nothing, and not be seen to be
/// well.
pub(crate) const MIN_RESPONSE_TIMES_LEFT_SATURATED: f64 = 2.5;
pub(crate) const MIN_RESPONSE_TIMES_LEFT: f64 = 0.8;

/// Held work in all, at most: a bound on memory, far above what can be answered within an aim.
pub(crate) const MAX_QUEUED: usize = 4000;

impl Gateway {
    pub(crate) fn on_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        let s = &self.settings;
        let id = request.id;
        if request.class >= s.classes.len()
            || request.plan >= s.plans.len()
            || self.requests.active.contains_key(&id)
        {
            actions.push(Action::Fail { request: id });
            return;
        }
        let now = self.clock.now_ms;
        let plan = s.plans[request.plan].clone();
        let wide = !self.coordination.is_broadcast();
        let tag = if wide { request.customer.0 } else { u64::from(customer_tag(request.customer)) };
        let aim = s.classes[request.class].latency_objective_ms;
        let aim = aim - self.already_waited_ms(request.class, request.time_left_ms);
        let s = &self.settings;
        let newcomer = now - self.clock.started_ms < STARTUP_MS;
        let (first, spread) = (request.first, request.spread.clamp(1, s.gateways));
        if wide {
            let (units, class) = (request.units, request.class);
            let active = ActiveRequest::new(request, tag, now, aim, false);
            let hopeless = self.cannot_meet_deadline(&active);
            self.requests.active.insert(id, active);
            if hopeless || self.queue.len() >= MAX_QUEUED {
                return self.finish(id, self.overload_retry_after(), actions);
            }
            let worth = self.settings.classes[class].priority_weight.max(0.01);
            self.queue.enqueue(tag, id, units / worth, self.flow_weight(&plan));
            return self.check_quota(id, actions);
        }
        let reserved = self.queue.queued_size(tag);
        let customer = self.customer_entry(tag, request.plan, first, spread);
        let withheld = if newcomer { plan.burst_units * (1.0 - 1.0 / spread as f64) } else { 0.0 };
        let room = customer.tokens - reserved - withheld;
        let inside = plan.rate_per_second <= 0.0 || room >= request.units;
        let short = (request.units - room).max(0.0);
        let ceiling_ok = plan.ceiling_rate_per_second <= 0.0 || customer.ceiling_tokens >= request.units;
        let active = ActiveRequest::new(request, tag, now, aim, inside);
        let units = active.request.units;
        let hopeless = self.cannot_meet_deadline(&active);
        self.requests.active.insert(id, active);
        if hopeless {
            // A client's last try may come with no time left to serve it.
            return self.finish(id, self.overload_retry_after(), actions);
        }
        let (under_lower, under_upper) = self.under_band(id);
        // Beyond the quota only what earns more than it costs goes on, and only with nothing held.
        let earns = plan.over_quota_value > plan.over_quota_cost && ceiling_ok && plan.open_limit == 0;
        let may_go = if inside {
            under_upper && self.quota_decision(id) == QuotaDecision::Admit
        } else {
            under_lower && earns
        };
        if may_go && !self.band.blocked {
            if let Some(endpoint) = self.select_endpoint(id) {
                return self.send(id, endpoint, actions);
            }
        }
        if inside && self.queue.len() < MAX_QUEUED {
            self.queue.enqueue(tag, id, units, self.flow_weight(&plan));
        } else {
            let wait = Some(1000.0 * short / plan.rate_per_second).filter(|w| w.is_finite());
            self.finish(id, wait, actions);
        }
    }

    /// Whether an answer can no longer come within the aim or the client's wait. Guards rule 1, and against
    /// late work, which is waste.
    pub(crate) fn cannot_meet_deadline(&self, active: &ActiveRequest) -> bool {
        let end = active.objective_at_ms.min(active.deadline_ms - UPKEEP_MS - 2.0 * self.settings.tick_ms);
        let wanted =
            if self.band.saturated { MIN_RESPONSE_TIMES_LEFT_SATURATED } else { MIN_RESPONSE_TIMES_LEFT }
                * self.latency.response_ms(active.request.class);
        end - self.clock.now_ms < wanted
    }

    /// When to come back to a gateway that had no room in time: after the longest wait that clients heed. Try
    /// on try would come too late as well, and each is weighed and asked about anew.
    pub(crate) fn overload_retry_after(&self) -> Option<f64> {
        Some(self.settings.max_retry_after_ms).filter(|ms| *ms > 0.0)
    }
}
