//! Which queued request leaves next.
use crate::action::Action;
use crate::gateway::Gateway;
use crate::id::RequestId;
use crate::settings::PlanSettings;
use crate::state::request::{Gate, QuotaState};

/// Time-out of an attempt, in aims. Past the aim an answer earns little, but while the endpoint may still
/// work on it the attempt belongs in the stock: forgetting it sooner let in more than the endpoints could do.
pub(crate) const ATTEMPT_TIMEOUT_OBJECTIVES: f64 = 2.0;

impl Gateway {
    /// Under the lower bound the smallest virtual finish leaves, first come first within a customer.
    pub(crate) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        self.band.blocked = false;
        let wide = self.gossip_mode();
        while self.queue.len > 0 {
            let mut best: Option<(f64, u64, RequestId)> = None;
            let heads: Vec<(u64, RequestId, f64)> = self
                .queue
                .flows
                .iter()
                .filter_map(|(t, f)| f.queue.front().map(|h| (*t, h.0, h.1)))
                .collect();
            for (tag, id, finish) in heads {
                match self.quota_gate(id) {
                    Gate::Go if wide && !self.under_band(id).0 => {
                        (self.band.blocked, self.band.was_blocked) = (true, true)
                    }
                    Gate::Go if best.is_none_or(|b| finish < b.0) => best = Some((finish, tag, id)),
                    Gate::Beyond => {
                        self.remove_queued(tag, id);
                        let soft = self
                            .requests
                            .active
                            .get(&id)
                            .is_some_and(|o| o.quota == QuotaState::Beyond { ceiling: true });
                        match if soft && self.under_band(id).0 { self.select_endpoint(id) } else { None } {
                            Some(endpoint) => self.send(id, endpoint, actions),
                            None => {
                                self.finish(id, wide.then_some(self.settings.max_retry_after_ms), actions)
                            }
                        }
                    }
                    _ => {}
                }
            }
            let Some((finish, tag, id)) = best else { return };
            if !self.under_band(id).0 {
                (self.band.blocked, self.band.was_blocked) = (true, true);
                return;
            }
            let Some(endpoint) = self.select_endpoint(id) else {
                self.band.blocked = true;
                return;
            };
            self.queue.virtual_time = finish;
            self.remove_queued(tag, id);
            self.send(id, endpoint, actions);
        }
    }

    pub(crate) fn enqueue(&mut self, id: RequestId, tag: u64, plan: &PlanSettings, units: f64) {
        let usual_s = self.mean_response_ms() / 1000.0;
        let flow = self.queue.flows.entry(tag).or_default();
        let weight = if plan.rate_per_second > 0.0 {
            plan.rate_per_second
        } else {
            f64::from(plan.open_limit.max(1)) / usual_s
        };
        // What a unit of the plan earns counts with its rate; a plan that earns nothing still moves.
        let finish =
            self.queue.virtual_time.max(flow.last_finish) + units / (weight * plan.plan_weight.max(0.01));
        flow.last_finish = finish;
        flow.units += units;
        flow.queue.push_back((id, finish));
        self.queue.len += 1;
    }

    /// Whether the quota, the active limit and the own part of the ceiling let a request go now.
    pub(crate) fn quota_gate(&mut self, id: RequestId) -> Gate {
        let Some(active) = self.requests.active.get(&id) else { return Gate::Beyond };
        match active.quota {
            QuotaState::Own | QuotaState::Counted { .. } => {}
            QuotaState::Granted { .. } => return Gate::Go,
            QuotaState::Beyond { .. } => return Gate::Beyond,
            QuotaState::Asked { .. } | QuotaState::Queued { .. } | QuotaState::Counting => return Gate::Wait,
        }
        let plan = &self.settings.plans[active.request.plan];
        let Some(customer) = self.customers.by_tag.get_mut(&active.tag) else { return Gate::Beyond };
        customer.fill(plan, self.clock.now_ms);
        let counted = active.quota != QuotaState::Own;
        if plan.rate_per_second > 0.0 && !counted && customer.tokens < active.request.units {
            return Gate::Beyond;
        }
        if plan.open_limit > 0 {
            // Peers' attempts are heard of late: beyond the own part of the limit each peer that was lately
            // busy here may have one more out than it told. With more gateways than slots only some have a
            // part: a third more of them than there are slots, few being busy at once.
            let (told, busy) = customer.peers_in_flight(self.clock.now_ms);
            let (spread, limit) = (customer.spread as u32, plan.open_limit);
            let place =
                (self.settings.me + self.settings.gateways - customer.first) as u32 + active.tag as u32;
            let part = (limit / spread).max(u32::from(place % spread < (4 * limit).div_ceil(3)));
            let margin = if customer.in_flight < part { 0 } else { busy };
            if customer.in_flight + told + margin >= plan.open_limit {
                return Gate::Wait;
            }
        }
        if plan.ceiling_rate_per_second > 0.0 && customer.ceiling_tokens < active.request.units {
            customer.ceiling_requested = true;
            self.customers.unreported.insert(active.tag);
            return Gate::Wait;
        }
        Gate::Go
    }
}
