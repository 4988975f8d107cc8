//! The exchange between a quota's owner and the gateways that ask it.
use crate::action::Action;
use crate::gateway::Gateway;
use crate::mechanism::splitmix64::mix;
use crate::messages::gossip::{GossipMessage, QuotaRelease, QuotaResponse, EASY, GRANTED, QUEUED, SOFT};
use crate::policy::dispatch::ATTEMPT_TIMEOUT_OBJECTIVES;
use crate::policy::quota_owner::QUOTA_RATE_SPAN_S;
use crate::state::customer::Grant;
use crate::state::request::QuotaState;

impl Gateway {
    pub(crate) fn handle_quota_traffic(
        &mut self,
        from: usize,
        note: GossipMessage,
        actions: &mut Vec<Action>,
    ) {
        for ask in note.requests {
            if let Some(answer) = self.decide(from, &ask) {
                self.send_gossip(
                    from,
                    GossipMessage { responses: vec![answer], ..GossipMessage::default() },
                    actions,
                );
            }
        }
        for answer in note.responses {
            self.on_quota_response(from, answer, actions);
        }
        for end in note.releases {
            self.on_quota_release(from, end, actions);
        }
    }

    pub(crate) fn on_quota_response(
        &mut self,
        from: usize,
        answer: QuotaResponse,
        actions: &mut Vec<Action>,
    ) {
        let Some(id) = self.quota_owner.pending.get(&answer.number).copied() else { return };
        let Some(active) = self.requests.active.get_mut(&id) else {
            self.quota_owner.pending.remove(&answer.number);
            return;
        };
        let mine = match active.quota {
            QuotaState::AwaitingOwner { keeper, number, .. }
            | QuotaState::QueuedAtOwner { keeper, number } => keeper == from && number == answer.number,
            _ => false,
        };
        if !mine {
            return;
        }
        active.quota = match answer.verdict {
            GRANTED | EASY => QuotaState::GrantedByOwner { keeper: from, number: answer.number },
            QUEUED => QuotaState::QueuedAtOwner { keeper: from, number: answer.number },
            verdict => QuotaState::OverQuota { within_ceiling: verdict == SOFT },
        };
        active.within_quota = matches!(answer.verdict, GRANTED | EASY);
        active.ample = answer.verdict == EASY;
        if answer.verdict != QUEUED {
            self.quota_owner.pending.remove(&answer.number);
        }
        let tag = active.tag;
        if let Some(customer) = self.customers.by_tag.get_mut(&tag) {
            (customer.sampling_fraction, customer.sampling_fraction_ms) =
                (f64::from(answer.sampling_fraction.min(63)) / 63.0, self.clock.now_ms);
        }
        let _ = actions;
    }

    pub(crate) fn on_quota_release(&mut self, from: usize, end: QuotaRelease, actions: &mut Vec<Action>) {
        let most = self.settings.max_units.max(1.0);
        let Some(customer) = self.customers.by_tag.get_mut(&end.customer) else { return };
        let Some(plan) = customer.plan.map(|p| self.settings.plans[p].clone()) else { return };
        let same = |g: &Grant| g.from == from && g.number == end.number;
        customer.waiters.retain(|g| !same(g));
        let Some(at) = customer.grants.iter().position(same) else { return };
        customer.grants.swap_remove(at);
        customer.fill(&plan, self.clock.now_ms);
        if plan.rate_per_second > 0.0 {
            let owed = (f64::from(end.quarters) / 4.0).clamp(-most, most);
            customer.tokens = (customer.tokens - owed).min(plan.burst_units);
        }
        let now = self.clock.now_ms;
        customer.waiters.retain(|g| g.until_ms > now);
        if plan.open_limit == 0 || customer.grants.len() >= plan.open_limit as usize {
            return;
        }
        let Some(next) = customer.waiters.pop_front() else { return };
        let out_ms = ATTEMPT_TIMEOUT_OBJECTIVES
            * self.settings.classes.iter().map(|c| c.latency_objective_ms).fold(0.0, f64::max);
        customer.grants.push(Grant { until_ms: next.until_ms + out_ms, ..next });
        customer.granted_rate.add(1.0, now, QUOTA_RATE_SPAN_S);
        let answer = QuotaResponse {
            number: next.number,
            verdict: GRANTED,
            sampling_fraction: (customer.sampling_fraction * 63.0) as u32,
        };
        self.send_gossip(
            next.from,
            GossipMessage { responses: vec![answer], ..GossipMessage::default() },
            actions,
        );
    }

    /// The gateways of a customer's set, each with its rank: the lowest keeps its count, the next stands by.
    pub(crate) fn rendezvous_ranking(
        &self,
        tag: u64,
        first: usize,
        spread: usize,
    ) -> impl Iterator<Item = (u64, usize)> {
        let gateways = self.settings.gateways;
        let set = (0..spread).map(move |step| (first + step) % gateways);
        set.map(move |g| (mix(tag ^ mix(g as u64)), g))
    }
}
