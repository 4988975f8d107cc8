//! Customers: the tokens of their quota and ceiling, and what gateways reported and granted.
use crate::id::{GatewayIndex, PlanIndex};
use crate::mechanism::token_bucket::TokenBucket;
use crate::messages::counts_message::ConsumedUnits;
use crate::settings::PlanSettings;
use crate::state::{CounterAccount, GatewaySet, QuotaGrants};
use std::collections::BTreeMap;

/// A customer as this gateway knows it.
#[derive(Debug, Clone)]
pub(crate) struct Customer {
    /// Its plan, an index into the settings; `None` while it is known from peers' reports alone.
    plan: Option<PlanIndex>,
    /// The gateways that its requests come through.
    gateways: GatewaySet,
    /// Units of its quota. Before the plan is known, the fraction of the burst that was last reported.
    quota: TokenBucket,
    /// Units of this gateway's own fraction of its hard ceiling.
    ceiling: TokenBucket,
    /// When a request of the customer came in here, or a report of it from a peer.
    last_used_ms: f64,
    /// Own attempts in flight.
    in_flight: u32,
    /// What is reported of it in a broadcasting fleet.
    reports: CustomerReports,
    /// What this gateway granted to others as the owner of the customer's quota.
    pub(crate) grants: QuotaGrants,
    /// What the quota's owner said, where that is another gateway.
    sampling: OwnerSampling,
    /// Its calls to the shared counter.
    pub(crate) counter: CounterAccount,
}

/// What gateways of a broadcasting fleet report to each other of one customer.
#[derive(Debug, Clone, Default)]
struct CustomerReports {
    /// Units that this gateway consumed since its start.
    consumed_units: f64,
    /// What each peer last reported.
    peers: BTreeMap<GatewayIndex, PeerCount>,
    /// Rounds in which the own count is still to be sent.
    pending_rounds: u8,
    /// Peers are to be asked for units of the ceiling in the next round.
    ceiling_requested: bool,
    /// Units of the ceiling given to peers and not sent yet.
    ceiling_transfers: BTreeMap<GatewayIndex, f64>,
}

/// What a peer reported of one customer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerCount {
    /// The peer's start that the count belongs to.
    pub(crate) incarnation: u32,
    /// Units that the peer consumed since that start.
    pub(crate) consumed: ConsumedUnits,
    /// The peer's attempts in flight for the customer.
    pub(crate) in_flight: u32,
    /// When the report came.
    pub(crate) received_ms: f64,
}

/// What a peer's report says of the units that it consumed of one customer's quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ReportedConsumption {
    /// The first report of this peer, or no plan is known here yet. It has only the fraction of the burst that
    /// the peer sees in the quota.
    Unknown {
        /// That fraction, 0 to 1.
        fill: f64,
    },
    /// Units consumed since the peer's last report.
    Since {
        /// The units; below 0 some were given back.
        consumed_units: f64,
    },
}

/// What peers that reported recently have in flight for one customer.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PeerActivity {
    /// Attempts in flight, by their last reports.
    pub(crate) in_flight: u32,
    /// How many peers these reports are of.
    pub(crate) busy: u32,
}

/// The fraction of a customer's requests that its quota's owner wants to be asked about.
#[derive(Debug, Clone, Copy)]
struct OwnerSampling {
    /// The fraction, 0 to 1.
    fraction: f64,
    /// When the owner gave it.
    received_ms: f64,
}

impl Customer {
    /// A customer of whom nothing is known: a full quota.
    pub(crate) fn new(now_ms: f64) -> Self {
        Customer {
            plan: None,
            // Until its first request here tells.
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

    /// Enters a request that came in through these gateways.
    pub(crate) fn touch(&mut self, gateways: GatewaySet, now_ms: f64) {
        self.gateways = gateways;
        self.last_used_ms = now_ms;
    }

    /// Learns the plan. The quota held a fraction of the burst until now. The ceiling begins with what its
    /// fraction accrued in the gateway's uptime, since a gateway cannot know what it spent before a restart.
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

    /// Brings the quota and the ceiling up to now.
    pub(crate) fn refill(&mut self, plan: &PlanSettings, now_ms: f64) {
        self.quota.refill(plan.rate_per_second, plan.burst_units, now_ms);
        self.ceiling.refill(plan.ceiling_rate_per_second, plan.ceiling_burst_units, now_ms);
    }

    /// An own attempt has been sent.
    pub(crate) fn start_attempt(&mut self) {
        self.in_flight += 1;
    }

    /// An own attempt has ended.
    pub(crate) fn end_attempt(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// How long no request of the customer came in here and no report of it from a peer.
    pub(crate) fn idle_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.last_used_ms
    }

    /// Own attempts in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Takes units from the quota, to be reported to peers. Below 0 gives back.
    pub(crate) fn consume_quota(&mut self, units: f64) {
        self.quota.take(units);
        self.reports.consumed_units += units;
    }

    /// Takes units that this gateway grants as the quota's owner from the quota and the ceiling.
    pub(crate) fn take_grant(&mut self, plan: &PlanSettings, units: f64) {
        if plan.rate_per_second > 0.0 {
            self.quota.take(units);
        }
        self.ceiling.take(units);
    }

    /// Corrects the quota that this gateway owns by what a granted request took beyond its grant.
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
        *self.reports.ceiling_transfers.entry(peer).or_insert(0.0) += units;
    }

    /// Adds units of the ceiling that a peer transferred, up to a limit.
    pub(crate) fn receive_ceiling(&mut self, units: f64, max_units: f64) {
        self.ceiling.add(units, max_units);
    }

    /// What peers reported to have in flight, by reports younger than the time-out.
    pub(crate) fn peer_activity(&self, now_ms: f64, timeout_ms: f64) -> PeerActivity {
        let live = self.reports.peers.values().filter(|p| now_ms - p.received_ms < timeout_ms);
        live.fold(PeerActivity::default(), |sum, p| PeerActivity {
            in_flight: sum.in_flight + p.in_flight,
            busy: sum.busy + 1,
        })
    }

    /// Lets time pass without adding tokens, while no plan is known that says how many.
    pub(crate) fn skip_refill(&mut self, now_ms: f64) {
        self.quota.skip_refill(now_ms);
        self.ceiling.skip_refill(now_ms);
    }

    /// What a peer's count says of its consumption beyond its last count. `fill` is the fraction of the burst
    /// that the peer sees in the quota. A peer that restarted counts from 0.
    pub(crate) fn reported_consumption(
        &self,
        peer: GatewayIndex,
        count: &PeerCount,
        fill: f64,
    ) -> ReportedConsumption {
        let last = self.reports.peers.get(&peer).filter(|_| self.plan.is_some());
        let Some(last) = last else { return ReportedConsumption::Unknown { fill } };
        let same_incarnation = last.incarnation == count.incarnation;
        let earlier = if same_incarnation { last.consumed } else { ConsumedUnits::default() };
        ReportedConsumption::Since { consumed_units: count.consumed.units_since(earlier) }
    }

    /// Records a peer's count, to compare the next one with, and the tokens that the quota has after it.
    pub(crate) fn record_peer_count(&mut self, peer: GatewayIndex, count: PeerCount, quota_tokens: f64) {
        self.quota.set(quota_tokens);
        self.last_used_ms = count.received_ms;
        self.reports.peers.insert(peer, count);
    }

    /// Units that this gateway consumed since its start.
    pub(crate) fn consumed_units(&self) -> f64 {
        self.reports.consumed_units
    }

    /// Has the own count sent in the next rounds.
    pub(crate) fn schedule_report(&mut self, rounds: u8) {
        self.reports.pending_rounds = rounds;
    }

    /// Has peers asked for units of the ceiling in the next round.
    pub(crate) fn request_ceiling(&mut self) {
        self.reports.ceiling_requested = true;
    }

    /// Whether the own count is to be sent in this round.
    pub(crate) fn report_pending(&self) -> bool {
        self.reports.pending_rounds > 0
    }

    /// Whether peers are to be asked for units of the ceiling in this round.
    pub(crate) fn ceiling_requested(&self) -> bool {
        self.reports.ceiling_requested
    }

    /// Takes the units of the ceiling that are to be sent to a peer.
    pub(crate) fn take_ceiling_transfer(&mut self, peer: GatewayIndex) -> Option<f64> {
        self.reports.ceiling_transfers.remove(&peer)
    }

    /// Ends a round of reports; `true` while another one is to follow.
    pub(crate) fn end_report_round(&mut self) -> bool {
        self.reports.ceiling_requested = false;
        self.reports.pending_rounds = self.reports.pending_rounds.saturating_sub(1);
        self.reports.pending_rounds > 0
    }

    /// The fraction of requests that the quota's owner wants to be asked about. What it said loses weight
    /// evenly over the lifetime given; then all are asked about.
    pub(crate) fn sampling_fraction_now(&self, now_ms: f64, lifetime_ms: f64) -> f64 {
        let age = (now_ms - self.sampling.received_ms) / lifetime_ms;
        1.0 - (1.0 - self.sampling.fraction) * (1.0 - age).max(0.0)
    }

    /// The fraction of requests that the quota's owner last said it wants to be asked about.
    pub(crate) fn sampling_fraction(&self) -> f64 {
        self.sampling.fraction
    }

    /// Keeps what the quota's owner said.
    pub(crate) fn set_sampling_fraction(&mut self, fraction: f64, now_ms: f64) {
        self.sampling = OwnerSampling { fraction, received_ms: now_ms };
    }
}
