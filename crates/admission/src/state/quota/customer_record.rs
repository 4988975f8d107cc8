//! A customer: the tokens of its quota and its ceiling, and what is known of it by reports, grants and the
//! counter.
use crate::id::{GatewayIndex, PlanIndex};
use crate::mechanism::token_bucket::TokenBucket;
use crate::settings::PlanSettings;
use crate::state::quota::customer_reports::{CustomerReports, PeerActivity, PeerCount, ReportedConsumption};
use crate::state::{CounterAccount, GatewaySet, QuotaGrants};

/// A customer as this gateway knows it.
#[derive(Debug, Clone)]
pub(crate) struct Customer {
    /// Its plan, an index into the settings; `None` while it is known from peers' reports alone.
    plan: Option<PlanIndex>,
    /// The gateways that its requests come through.
    gateways: GatewaySet,
    /// Units of its quota. Before the plan is known it has the fraction of the burst that was last reported,
    /// which `set_plan` turns into units.
    quota: TokenBucket,
    /// Units of this gateway's own fraction of its hard ceiling.
    ceiling: TokenBucket,
    /// When a request of the customer came in here, or a report of it from a peer, in ms.
    last_used_ms: f64,
    /// Own attempts in flight.
    in_flight: u32,
    /// Broadcast mode: what gateways report to each other of it.
    pub(crate) reports: CustomerReports,
    /// Gossip mode: what this gateway granted to others as the owner of the customer's quota.
    pub(crate) grants: QuotaGrants,
    /// Gossip mode: the sampling fraction that the quota's owner sent, where that is another gateway.
    sampling: OwnerSampling,
    /// Counter mode: its calls to the shared counter.
    pub(crate) counter: CounterAccount,
}

/// The fraction of a customer's requests for which its quota's owner wants quota requests.
#[derive(Debug, Clone, Copy)]
struct OwnerSampling {
    /// The fraction, 0 to 1.
    fraction: f64,
    /// When the owner sent it, in ms.
    received_ms: f64,
}

impl Customer {
    /// A customer of whom nothing is known: a full quota.
    pub(crate) fn new(now_ms: f64) -> Self {
        Customer {
            plan: None,
            // A placeholder until its first request here says which gateways it comes through.
            gateways: GatewaySet::new(GatewayIndex(0), 1, 1),
            quota: TokenBucket::new(1.0, 1.0, now_ms),
            ceiling: TokenBucket::new(0.0, 1.0, now_ms),
            last_used_ms: now_ms,
            in_flight: 0,
            reports: CustomerReports::default(),
            grants: QuotaGrants::default(),
            sampling: OwnerSampling { fraction: 1.0, received_ms: now_ms },
            counter: CounterAccount::default(),
        }
    }

    /// Its plan, an index into the settings.
    pub(crate) fn plan(&self) -> Option<PlanIndex> {
        self.plan
    }

    /// The gateways that its requests come through.
    pub(crate) fn gateways(&self) -> &GatewaySet {
        &self.gateways
    }

    /// Units of the quota as of the last refill.
    pub(crate) fn quota_tokens(&self) -> f64 {
        self.quota.tokens()
    }

    /// Units of this gateway's fraction of the ceiling as of the last refill.
    pub(crate) fn ceiling_tokens(&self) -> f64 {
        self.ceiling.tokens()
    }

    /// Records a request that came in through these gateways.
    pub(crate) fn record_request(&mut self, gateways: GatewaySet, now_ms: f64) {
        self.gateways = gateways;
        self.last_used_ms = now_ms;
    }

    /// Sets the plan, which was not known before. Until now the quota was a fraction of the burst. The
    /// ceiling starts with what its fraction accrued in the gateway's uptime.
    ///
    /// Guards against a ceiling that is passed after a restart: the gateway cannot know what it spent before,
    /// so it starts as if it had spent all of it.
    pub(crate) fn set_plan(
        &mut self,
        index: PlanIndex,
        plan: &PlanSettings,
        ceiling_fraction: f64,
        uptime_s: f64,
        now_ms: f64,
    ) {
        self.plan = Some(index);
        self.quota.set(self.quota.tokens() * plan.burst_units);
        self.quota.refill(plan.rate_per_second, plan.burst_units, now_ms);
        let accrued = plan.ceiling_rate_per_second * uptime_s;
        let tokens = ceiling_fraction * accrued.min(plan.ceiling_burst_units);
        self.ceiling = TokenBucket::new(tokens, ceiling_fraction, now_ms);
    }

    /// Refills the quota and the ceiling for the time since the last refill.
    pub(crate) fn refill(&mut self, plan: &PlanSettings, now_ms: f64) {
        self.quota.refill(plan.rate_per_second, plan.burst_units, now_ms);
        self.ceiling.refill(plan.ceiling_rate_per_second, plan.ceiling_burst_units, now_ms);
    }

    /// Lets time pass without adding tokens, while no plan is known that says how many.
    pub(crate) fn skip_refill(&mut self, now_ms: f64) {
        self.quota.skip_refill(now_ms);
        self.ceiling.skip_refill(now_ms);
    }

    /// An own attempt has been sent.
    pub(crate) fn start_attempt(&mut self) {
        self.in_flight += 1;
    }

    /// An own attempt has ended.
    pub(crate) fn end_attempt(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Time since a request of the customer came in here, or a report of it from a peer.
    pub(crate) fn idle_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.last_used_ms
    }

    /// Own attempts in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Takes units from the quota, to be reported to peers; below 0 gives some back.
    pub(crate) fn consume_quota(&mut self, units: f64) {
        self.quota.take(units);
        self.reports.record_consumption(units);
    }

    /// Takes units that this gateway grants as the quota's owner from the quota and the ceiling.
    pub(crate) fn charge_grant(&mut self, plan: &PlanSettings, units: f64) {
        if plan.rate_per_second > 0.0 {
            self.quota.take(units);
        }
        self.ceiling.take(units);
    }

    /// Corrects the quota that this gateway owns by what a granted request consumed beyond its grant.
    pub(crate) fn settle_grant(&mut self, plan: &PlanSettings, additional_units: f64) {
        self.quota.add(-additional_units, plan.burst_units);
    }

    /// Takes units from this gateway's fraction of the ceiling.
    pub(crate) fn consume_ceiling(&mut self, units: f64) {
        self.ceiling.take(units);
    }

    /// Takes units of the ceiling for a peer, to be sent with the next report.
    pub(crate) fn transfer_ceiling(&mut self, peer: GatewayIndex, units: f64) {
        self.ceiling.take(units);
        self.reports.add_ceiling_transfer(peer, units);
    }

    /// Adds units of the ceiling that a peer transferred, up to a limit.
    pub(crate) fn receive_ceiling(&mut self, units: f64, max_units: f64) {
        self.ceiling.add(units, max_units);
    }

    /// What peers reported to have in flight, by reports younger than the time-out.
    pub(crate) fn peer_activity(&self, now_ms: f64, timeout_ms: f64) -> PeerActivity {
        self.reports.peer_activity(now_ms, timeout_ms)
    }

    /// What a peer's count says of its consumption beyond its last count. `fill` is the fraction of the burst
    /// that the peer sees in the quota; it is all there is to go by before the plan is known.
    pub(crate) fn reported_consumption(
        &self,
        peer: GatewayIndex,
        count: &PeerCount,
        fill: f64,
    ) -> ReportedConsumption {
        match self.plan {
            Some(_) => self.reports.consumption_since_last(peer, count, fill),
            None => ReportedConsumption::Unknown { fill },
        }
    }

    /// Records a peer's count, to compare the next one with, and the tokens that the quota has after it.
    pub(crate) fn record_peer_count(&mut self, peer: GatewayIndex, count: PeerCount, quota_tokens: f64) {
        self.quota.set(quota_tokens);
        self.last_used_ms = count.received_ms;
        self.reports.record_peer_count(peer, count);
    }

    /// Time since the quota's owner sent the sampling fraction.
    pub(crate) fn sampling_age_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.sampling.received_ms
    }

    /// The sampling fraction that the quota's owner last sent.
    pub(crate) fn sampling_fraction(&self) -> f64 {
        self.sampling.fraction
    }

    /// Records the sampling fraction that the quota's owner sent.
    pub(crate) fn set_sampling_fraction(&mut self, fraction: f64, now_ms: f64) {
        self.sampling = OwnerSampling { fraction, received_ms: now_ms };
    }
}
