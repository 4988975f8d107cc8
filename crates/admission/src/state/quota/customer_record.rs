//! A customer's record: tokens of its quota and hard ceiling, and what reports, grants and the counter say
//! about it.
use crate::id::{GatewayIndex, PlanIndex};
use crate::mechanism::token_bucket::TokenBucket;
use crate::settings::PlanSettings;
use crate::state::quota::customer_reports::{CustomerReports, PeerActivity, PeerCount, ReportedConsumption};
use crate::state::{CounterCallQueue, GatewaySet, QuotaGrants};

/// A customer's record at this gateway.
#[derive(Debug, Clone)]
pub(crate) struct Customer {
    /// The customer's plan, an index into the settings; `None` while the customer is known from peers'
    /// reports alone.
    plan: Option<PlanIndex>,
    /// Gateways that the customer's requests come through.
    gateways: GatewaySet,
    /// Token bucket of the quota, in units. Before the plan is known, it holds the fraction of the burst that
    /// was last reported, which `set_plan` converts to units.
    quota: TokenBucket,
    /// Token bucket of this gateway's fraction of the hard ceiling, in units.
    ceiling: TokenBucket,
    /// When the customer's last request, or a peer's last report about the customer, was received, in ms.
    last_used_ms: f64,
    /// Attempts of this gateway in flight for the customer that take a slot here
    /// (`QuotaState::holds_slot_here`).
    in_flight: u32,
    /// Broadcast mode: what gateways report to each other about the customer.
    pub(crate) reports: CustomerReports,
    /// Gossip mode: quota requests that this gateway has granted or queued as the owner of the customer's
    /// quota.
    pub(crate) grants: QuotaGrants,
    /// Gossip mode: the sampling fraction in the last response to a quota request of this gateway. The
    /// quota's owner, which sent it, may be this gateway itself.
    sampling: OwnerSampling,
    /// Counter mode: calls to the shared counter for the customer.
    pub(crate) counter: CounterCallQueue,
}

/// The fraction of a customer's requests for which the owner of the quota wants quota requests.
#[derive(Debug, Clone, Copy)]
struct OwnerSampling {
    /// The fraction, 0 to 1.
    fraction: f64,
    /// When the fraction was received, in ms.
    received_ms: f64,
}

impl Customer {
    /// Creates the record of a customer about which nothing is known, with a full quota.
    pub(crate) fn new(now_ms: f64) -> Self {
        Customer {
            plan: None,
            // A placeholder until the customer's first request here says which gateways its requests come
            // through.
            gateways: GatewaySet::new(GatewayIndex(0), 1, 1),
            quota: TokenBucket::new(1.0, 1.0, now_ms),
            ceiling: TokenBucket::new(0.0, 1.0, now_ms),
            last_used_ms: now_ms,
            in_flight: 0,
            reports: CustomerReports::default(),
            grants: QuotaGrants::default(),
            sampling: OwnerSampling { fraction: 1.0, received_ms: now_ms },
            counter: CounterCallQueue::default(),
        }
    }

    /// Returns the customer's plan, an index into the settings.
    pub(crate) fn plan(&self) -> Option<PlanIndex> {
        self.plan
    }

    /// Returns the gateways that the customer's requests come through.
    pub(crate) fn gateways(&self) -> &GatewaySet {
        &self.gateways
    }

    /// Returns the tokens of the quota as of the last refill.
    pub(crate) fn quota_tokens(&self) -> f64 {
        self.quota.tokens()
    }

    /// Returns the tokens of this gateway's fraction of the ceiling as of the last refill.
    pub(crate) fn ceiling_tokens(&self) -> f64 {
        self.ceiling.tokens()
    }

    /// Records a request; `gateways` are those that the customer's requests come through.
    pub(crate) fn record_request(&mut self, gateways: GatewaySet, now_ms: f64) {
        self.gateways = gateways;
        self.last_used_ms = now_ms;
    }

    /// Sets the plan, which was not known before, and converts the quota from a fraction of the burst to
    /// units. The ceiling starts with the tokens that this gateway's fraction of it has accrued since the
    /// gateway started.
    ///
    /// This guards against exceeding the ceiling after a restart: the gateway does not know what it spent
    /// before, so it assumes that it spent everything.
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
        let tokens = ceiling_fraction * new_ceiling_units(plan, uptime_s);
        self.ceiling = TokenBucket::new(tokens, ceiling_fraction, now_ms);
    }

    /// Refills the quota and the ceiling for the time since the last refill.
    pub(crate) fn refill(&mut self, plan: &PlanSettings, now_ms: f64) {
        self.quota.refill(plan.rate_per_second, plan.burst_units, now_ms);
        self.ceiling.refill(plan.ceiling_rate_per_second, plan.ceiling_burst_units, now_ms);
    }

    /// Lets time pass without adding tokens, because the rate is unknown until the plan is known.
    pub(crate) fn skip_refill(&mut self, now_ms: f64) {
        self.quota.skip_refill(now_ms);
        self.ceiling.skip_refill(now_ms);
    }

    /// Counts an attempt that this gateway has sent and that takes a slot here.
    pub(crate) fn start_attempt(&mut self) {
        self.in_flight += 1;
    }

    /// Counts an attempt of this gateway that has ended and frees its slot here.
    pub(crate) fn end_attempt(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the time since the customer's last request, or a peer's last report about the customer, was
    /// received, in ms.
    pub(crate) fn idle_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.last_used_ms
    }

    /// Returns this gateway's attempts in flight for the customer that take a slot here
    /// (`QuotaState::holds_slot_here`).
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Takes units from the quota and counts them for the next report to peers; units below 0 are given back.
    pub(crate) fn consume_quota(&mut self, units: f64) {
        self.quota.take(units);
        self.reports.record_consumption(units);
    }

    /// Takes units that this gateway has granted as the owner from the quota and the ceiling.
    pub(crate) fn charge_grant(&mut self, plan: &PlanSettings, units: f64) {
        if plan.rate_per_second > 0.0 {
            self.quota.take(units);
        }
        self.ceiling.take(units);
    }

    /// Corrects the quota, as its owner, by the units that a granted request consumed beyond its grant.
    pub(crate) fn settle_grant(&mut self, plan: &PlanSettings, additional_units: f64) {
        self.quota.add(-additional_units, plan.burst_units);
    }

    /// Takes units from this gateway's fraction of the ceiling.
    pub(crate) fn consume_ceiling(&mut self, units: f64) {
        self.ceiling.take(units);
    }

    /// Takes units from the ceiling and schedules their transfer to a peer with the next report.
    pub(crate) fn transfer_ceiling(&mut self, peer: GatewayIndex, units: f64) {
        self.ceiling.take(units);
        self.reports.add_ceiling_transfer(peer, units);
    }

    /// Adds units of the ceiling that a peer transferred, up to a limit.
    pub(crate) fn receive_ceiling(&mut self, units: f64, max_units: f64) {
        self.ceiling.add(units, max_units);
    }

    /// Returns the attempts in flight that peers reported, by reports younger than the time-out.
    pub(crate) fn peer_activity(&self, now_ms: f64, timeout_ms: f64) -> PeerActivity {
        self.reports.peer_activity(now_ms, timeout_ms)
    }

    /// Returns the units that a peer consumed since its last count. `fill` is the tokens that the peer's
    /// bucket of the quota holds, as a fraction of the burst. Before the plan is known here, only `fill` can
    /// be used.
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

    /// Records a peer's count, with which its next count is compared, and sets the tokens that the quota has
    /// after it.
    pub(crate) fn record_peer_count(&mut self, peer: GatewayIndex, count: PeerCount, quota_tokens: f64) {
        self.quota.set(quota_tokens);
        self.last_used_ms = count.received_ms;
        self.reports.record_peer_count(peer, count);
    }

    /// Returns whether quota and ceiling hold at least the tokens that a new record would have `uptime_s`
    /// after the gateway's start.
    pub(crate) fn has_full_buckets(&self, plan: &PlanSettings, uptime_s: f64, now_ms: f64) -> bool {
        let (mut quota, mut ceiling) = (self.quota.clone(), self.ceiling.clone());
        quota.refill(plan.rate_per_second, plan.burst_units, now_ms);
        ceiling.refill(plan.ceiling_rate_per_second, plan.ceiling_burst_units, now_ms);
        let new_ceiling = self.ceiling.fraction() * new_ceiling_units(plan, uptime_s);
        let has_full_quota = plan.rate_per_second <= 0.0 || quota.tokens() >= plan.burst_units;
        let has_new_ceiling = plan.ceiling_rate_per_second <= 0.0 || ceiling.tokens() >= new_ceiling;
        has_full_quota && has_new_ceiling
    }

    /// Returns whether an attempt is in flight, a request is granted or queued here as the quota's owner, or
    /// the counter is being called.
    pub(crate) fn is_in_use(&self, now_ms: f64) -> bool {
        self.in_flight > 0 || self.grants.has_requests(now_ms) || self.counter.is_busy()
    }

    /// Returns the time since the sampling fraction was received, in ms.
    pub(crate) fn sampling_age_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.sampling.received_ms
    }

    /// Returns the sampling fraction that the quota's owner last sent.
    pub(crate) fn sampling_fraction(&self) -> f64 {
        self.sampling.fraction
    }

    /// Records the sampling fraction that the quota's owner sent.
    pub(crate) fn set_sampling_fraction(&mut self, fraction: f64, now_ms: f64) {
        self.sampling = OwnerSampling { fraction, received_ms: now_ms };
    }
}

/// Returns the units of the whole hard ceiling that a new record assumes `uptime_s` after the gateway's
/// start.
fn new_ceiling_units(plan: &PlanSettings, uptime_s: f64) -> f64 {
    (plan.ceiling_rate_per_second * uptime_s).min(plan.ceiling_burst_units)
}
