//! Quotas in gossip mode: one gateway of a customer's set owns its token bucket and is asked.
use crate::action::Action;
use crate::gateway::Gateway;
use crate::id::RequestId;
use crate::messages::gossip::{
    GossipMessage, QuotaRequest, QuotaResponse, BEYOND, EASY, GRANTED, QUEUED, SOFT,
};
use crate::policy::dispatch::ATTEMPT_TIMEOUT_OBJECTIVES;
use crate::policy::in_flight_band::UNGATED_FILL;
use crate::state::customer::Grant;
use crate::state::request::QuotaState;

/// A keeper that has not answered for this part of the shortest aim, the least at least, is asked again.
pub(crate) const RESPONSE_WAIT_FRACTION: f64 = 0.1;
pub(crate) const MIN_RESPONSE_WAIT_MS: f64 = 60.0;

/// A gateway that left two questions unanswered is not asked for so long.
pub(crate) const SUSPECT_MS: f64 = 2500.0;

/// Parts of the messages that a gateway takes in that others' questions and the answers to its own may use
/// together, and that its own may use at least.
pub(crate) const QUOTA_MESSAGE_FRACTION: f64 = 0.9;
pub(crate) const MIN_QUOTA_MESSAGE_FRACTION: f64 = 0.2;

/// Own parts of a ceiling: of the customer's keeper, and of the one that stands by.
pub(crate) const OWNER_CEILING_FRACTION: f64 = 0.6;

/// A keeper wants to be asked for so many times what it grants, where it is asked for more.
pub(crate) const SAMPLING_HEADROOM: f64 = 1.5;

/// And for this part at least. What it told holds for so long.
pub(crate) const MIN_SAMPLING_FRACTION: f64 = 0.05;
pub(crate) const SAMPLING_TTL_MS: f64 = 3000.0;

/// Span over which a keeper smooths what is asked and granted.
pub(crate) const QUOTA_RATE_SPAN_S: f64 = 1.5;

impl Gateway {
    /// Puts a held request's question to its customer's keeper, or to the next in line where that is silent.
    pub(crate) fn request_quota(&mut self, id: RequestId, tries: u32, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.active.get(&id) else { return };
        let (r, now, tag) = (active.request.clone(), self.clock.now_ms, active.tag);
        let (first, spread) = (r.first % self.settings.gateways, r.spread.clamp(1, self.settings.gateways));
        let end = active.objective_at_ms.min(active.deadline_ms) - 0.8 * self.latency.response_ms(r.class);
        let customer = self.customer_entry(tag, r.plan, first, spread);
        let thin = 1.0
            - (1.0 - customer.sampling_fraction)
                * (1.0 - (now - customer.sampling_fraction_ms) / SAMPLING_TTL_MS).max(0.0);
        let shunned = |k: usize| self.peers.by_index.get(&k).is_some_and(|p| now < p.suspected_until_ms);
        let line = self.rendezvous_ranking(tag, first, spread).filter(|(_, k)| !shunned(*k));
        let keeper = line.min().map_or(self.settings.me, |(_, k)| k);
        // The same keeper gets the same number again: had its answer been lost, it would else draw twice.
        let number = match self.requests.active.get(&id).map(|o| o.quota) {
            Some(QuotaState::AwaitingOwner { keeper: last, number, .. }) if last == keeper => number,
            Some(QuotaState::AwaitingOwner { number, .. }) => {
                self.quota_owner.pending.remove(&number);
                self.quota_owner.next_number
            }
            _ => self.quota_owner.next_number,
        };
        let ask = QuotaRequest {
            customer: tag,
            plan: r.plan as u32,
            units: r.units.ceil().max(0.0) as u32,
            first: first as u32,
            spread: spread as u32,
            number,
            wait_budget: ((end - now).max(0.0) / 16.0) as u32,
            sampling_fraction: ((thin * 63.0).round() as u32).max(1),
        };
        let by_chance = self.random.next_fraction() > f64::from(ask.sampling_fraction) / 63.0;
        let other = keeper != self.settings.me;
        if other && tries == 0 && by_chance {
            return self.decide_without_owner(id, false);
        }
        if other && self.peers.message_tokens < 1.0 {
            return self.decide_without_owner(id, ask.sampling_fraction == 63);
        }
        self.peers.message_tokens -= f64::from(u8::from(other));
        let Some(active) = self.requests.active.get_mut(&id) else { return };
        self.quota_owner.next_number = if number == self.quota_owner.next_number {
            (number + 1) & 0xfff
        } else {
            self.quota_owner.next_number
        };
        active.quota = QuotaState::AwaitingOwner { keeper, number, at_ms: now, tries };
        self.quota_owner.pending.insert(number, id);
        self.send_gossip(keeper, GossipMessage { requests: vec![ask], ..GossipMessage::default() }, actions);
    }

    /// Decides on a request whose keeper can't be asked, or does not answer. Most customers are well inside
    /// their quota, so where the band has room it goes on by what this gateway itself passed of the customer;
    /// not where the keeper lately told that there is too little for what is asked, and never under a
    /// ceiling.
    pub(crate) fn decide_without_owner(&mut self, id: RequestId, likely: bool) {
        let room = self.band_fill(self.band.ready_capacity) < UNGATED_FILL;
        let Some(active) = self.requests.active.get_mut(&id) else { return };
        let own = likely && room && self.settings.plans[active.request.plan].ceiling_rate_per_second <= 0.0;
        active.quota =
            if own { QuotaState::LocalBucket } else { QuotaState::OverQuota { within_ceiling: false } };
        active.within_quota = own;
    }

    /// The keeper's verdict: store, active slots and its own part of the ceiling, taken before it answers.
    pub(crate) fn decide(&mut self, from: usize, ask: &QuotaRequest) -> Option<QuotaResponse> {
        let gateways = self.settings.gateways;
        let (first, spread) = (ask.first as usize, ask.spread as usize);
        let inside = |g: usize| (g + gateways - first) % gateways < spread;
        let plan = self.settings.plans.get(ask.plan as usize)?.clone();
        if first >= gateways || spread > gateways || !inside(from) || !inside(self.settings.me) {
            return None;
        }
        let (now, most) = (self.clock.now_ms, self.settings.max_units.max(1.0));
        let units = f64::from(ask.units).min(most);
        let out_ms = ATTEMPT_TIMEOUT_OBJECTIVES
            * self.settings.classes.iter().map(|c| c.latency_objective_ms).fold(0.0, f64::max);
        let until_ms = now + 16.0 * f64::from(ask.wait_budget).min(4095.0);
        let customer = self.customer_entry(ask.customer, ask.plan as usize, first, spread);
        let grant = Grant { from, number: ask.number, until_ms: until_ms + out_ms };
        let same = |g: &Grant| g.from == from && g.number == ask.number;
        customer.grants.retain(|g| g.until_ms > now);
        customer.waiters.retain(|g| g.until_ms > now);
        let enough = plan.rate_per_second <= 0.0 || customer.tokens >= units;
        let ceiling = plan.ceiling_rate_per_second <= 0.0 || customer.ceiling_tokens >= units;
        let known = customer.grants.iter().any(same);
        if !known {
            customer.requested_rate.add(
                units * 63.0 / f64::from(ask.sampling_fraction.clamp(1, 63)),
                now,
                QUOTA_RATE_SPAN_S,
            );
        }
        let verdict = if known {
            GRANTED
        } else if customer.waiters.iter().any(same) {
            QUEUED
        } else if enough
            && ceiling
            && plan.open_limit > 0
            && customer.grants.len() >= plan.open_limit as usize
        {
            if customer.waiters.len() < 4 * plan.open_limit as usize {
                customer.waiters.push_back(Grant { until_ms, ..grant });
                QUEUED
            } else {
                BEYOND
            }
        } else if enough && ceiling {
            if plan.rate_per_second > 0.0 {
                customer.tokens -= units;
            }
            customer.ceiling_tokens -= units;
            customer.granted_rate.add(units, now, QUOTA_RATE_SPAN_S);
            customer.grants.push(grant);
            GRANTED
        } else if plan.over_quota_value > plan.over_quota_cost && plan.open_limit == 0 && ceiling {
            customer.ceiling_tokens -= units;
            SOFT
        } else {
            BEYOND
        };
        let (asked, granted) = (
            customer.requested_rate.now(now, QUOTA_RATE_SPAN_S),
            customer.granted_rate.now(now, QUOTA_RATE_SPAN_S),
        );
        let easy =
            plan.rate_per_second > 0.0 && plan.open_limit == 0 && customer.tokens > 0.5 * plan.burst_units;
        let (verdict, thin) = match verdict {
            GRANTED if easy => (EASY, 1.0),
            v => (
                v,
                (SAMPLING_HEADROOM * granted.max(plan.rate_per_second) / asked.max(1e-9))
                    .clamp(MIN_SAMPLING_FRACTION, 1.0),
            ),
        };
        Some(QuotaResponse { number: ask.number, verdict, sampling_fraction: (thin * 63.0).round() as u32 })
    }
}
