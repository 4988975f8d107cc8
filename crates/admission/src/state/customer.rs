//! Customers: token bucket, ceiling and what peers reported.
use crate::gateway::Gateway;
use crate::id::{CustomerId, RequestId};
use crate::mechanism::decaying_rate::DecayingRate;
use crate::mechanism::splitmix64::{mix, short_tag};
use crate::policy::coordination::{MAX_CUSTOMERS, PEER_TIMEOUT_MS};
use crate::policy::quota_counter::COUNT_EPOCH_MS;
use crate::policy::quota_owner::OWNER_CEILING_FRACTION;
use crate::settings::PlanSettings;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What a peer told of one customer.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerCount {
    pub(crate) incarnation: u32,
    pub(crate) consumed: u32,
    pub(crate) in_flight: u32,
    pub(crate) received_ms: f64,
}

/// A customer's quota and ceiling as this gateway knows them.
#[derive(Debug, Clone)]
pub(crate) struct Customer {
    pub(crate) plan: Option<usize>,
    pub(crate) first: usize,
    pub(crate) spread: usize,
    /// Units in the quota store; before the plan is known, the part of the burst last told.
    pub(crate) tokens: f64,
    /// Units in this gateway's own part of the ceiling.
    pub(crate) ceiling_tokens: f64,
    pub(crate) filled_ms: f64,
    pub(crate) used_ms: f64,
    /// Units drawn since this gateway's start.
    pub(crate) consumed: f64,
    pub(crate) in_flight: u32,
    pub(crate) peers: BTreeMap<usize, PeerCount>,
    pub(crate) pending_rounds: u8,
    pub(crate) ceiling_requested: bool,
    pub(crate) ceiling_transfers: BTreeMap<usize, f64>,
    /// Part of the ceiling that is this gateway's own.
    pub(crate) ceiling_fraction: f64,
    /// What its keeper granted and still counts or would grant again to the same question.
    pub(crate) grants: Vec<Grant>,
    /// Questions waiting at its keeper for an active slot, first come first.
    pub(crate) waiters: VecDeque<Grant>,
    /// Units asked of its keeper and granted a second, smoothed.
    pub(crate) requested_rate: DecayingRate,
    pub(crate) granted_rate: DecayingRate,
    /// Part of its requests that its keeper wants to be asked about, and when that was told.
    pub(crate) sampling_fraction: f64,
    pub(crate) sampling_fraction_ms: f64,
    pub(crate) count: Count,
}

/// A customer's dealings with the counter.
#[derive(Debug, Clone, Default)]
pub(crate) struct Count {
    /// The call that is out, and what it put right along with its own amount.
    pub(crate) calling: Option<(Call, f64)>,
    /// Calls to come, first come first.
    pub(crate) queue: VecDeque<Call>,
    /// Units to be put right with the next call.
    pub(crate) owed: f64,
    /// The store's level as last told, and when.
    pub(crate) level: Option<(f64, f64)>,
}

/// A call to the counter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Call {
    /// Takes a request's units, and those of others that are not asked about, and asks whether its own were
    /// there.
    Ask { id: RequestId, units: f64, takes: f64 },
    /// Brings a count that lies behind up to the clock, from the total seen.
    Raise { by: f64, seen: f64 },
    /// Puts right what is owed.
    Settle,
}

/// A question put to a customer's keeper: by whom, its number, and for how long it matters.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Grant {
    pub(crate) from: usize,
    pub(crate) number: u32,
    pub(crate) until_ms: f64,
}

impl Customer {
    /// A customer of whom nothing is known: a full store.
    pub(crate) fn new(now: f64) -> Self {
        Customer {
            plan: None,
            first: 0,
            spread: 1,
            tokens: 1.0,
            ceiling_tokens: 0.0,
            filled_ms: now,
            used_ms: now,
            consumed: 0.0,
            in_flight: 0,
            peers: BTreeMap::new(),
            pending_rounds: 0,
            ceiling_requested: false,
            ceiling_transfers: BTreeMap::new(),
            ceiling_fraction: 1.0,
            grants: Vec::new(),
            waiters: VecDeque::new(),
            requested_rate: DecayingRate::default(),
            granted_rate: DecayingRate::default(),
            sampling_fraction: 1.0,
            sampling_fraction_ms: now,
            count: Count::default(),
        }
    }
}

/// What is known of customers, by tag.
#[derive(Debug, Default)]
pub(crate) struct CustomerTable {
    pub(crate) by_tag: BTreeMap<u64, Customer>,
    /// Customers whose counts peers have not been sent yet.
    pub(crate) unreported: BTreeSet<u64>,
    /// When idle customers were last evicted.
    pub(crate) evicted_ms: f64,
}

/// Quota requests to owners that wait for a response, by number.
#[derive(Debug, Default)]
pub(crate) struct QuotaOwner {
    pub(crate) pending: BTreeMap<u32, RequestId>,
    pub(crate) next_number: u32,
}

/// Calls to the quota counter.
#[derive(Debug, Default)]
pub(crate) struct QuotaCounter {
    /// Part of the requests that the counter is asked about.
    pub(crate) sampling_fraction: f64,
    /// Customers with a call out, by the name of their count.
    pub(crate) calls: BTreeMap<u64, u64>,
}

/// A customer's short name in messages.
pub(crate) fn customer_tag(id: CustomerId) -> u32 {
    short_tag(id.0)
}

impl Customer {
    /// The level at most, going by what was last told of it; none where nothing was.
    pub(crate) fn tokens_at_most(&self, plan: &PlanSettings, now: f64) -> Option<f64> {
        let (level, at_ms) = self.count.level?;
        Some((level + plan.rate_per_second * (now - at_ms).max(0.0) / 1000.0).min(plan.burst_units))
    }
}

/// The present count of a customer: its name, and the seconds since it began.
pub(crate) fn count_now(tag: u64, now: f64) -> (u64, f64) {
    let phase = (mix(tag) % COUNT_EPOCH_MS as u64) as f64;
    let number = ((now + phase) / COUNT_EPOCH_MS).floor();
    let name = mix(tag ^ mix(number as i64 as u64)) >> 1;
    (name, (now + phase - number * COUNT_EPOCH_MS) / 1000.0)
}

impl Customer {
    /// Brings both stores up to now.
    pub(crate) fn fill(&mut self, plan: &PlanSettings, now: f64) {
        let seconds = (now - self.filled_ms).max(0.0) / 1000.0;
        let ceiling_part = self.ceiling_fraction;
        self.filled_ms = now;
        self.tokens = (self.tokens + plan.rate_per_second * seconds).min(plan.burst_units);
        let share = self.ceiling_tokens + plan.ceiling_rate_per_second * seconds * ceiling_part;
        self.ceiling_tokens = share.min(plan.ceiling_burst_units * ceiling_part);
    }

    /// Attempts that peers last told to have out here, and how many peers were lately busy here.
    pub(crate) fn peers_in_flight(&self, now: f64) -> (u32, u32) {
        let live = self.peers.values().filter(|p| now - p.received_ms < PEER_TIMEOUT_MS);
        live.fold((0, 0), |(active, busy), p| (active + p.in_flight, busy + 1))
    }
}

impl Gateway {
    /// The customer's record, made where there is none: a full store, an empty part of the ceiling, since a
    /// gateway cannot know what it spent before a restart.
    pub(crate) fn customer_entry(
        &mut self,
        tag: u64,
        plan: usize,
        first: usize,
        spread: usize,
    ) -> &mut Customer {
        let s = &self.settings;
        let known = self.customers.by_tag.get(&tag).is_some_and(|c| c.plan.is_some());
        let before = || {
            let own = mix(tag ^ mix(s.me as u64));
            self.rendezvous_ranking(tag, first, spread).filter(|(rank, _)| *rank < own).count()
        };
        let part = match (self.coordination.exchanges_gossip(), spread) {
            (false, _) | (_, 1) => 1.0 / spread as f64,
            _ if known => 0.0,
            _ => match before() {
                0 => OWNER_CEILING_FRACTION,
                1 => 1.0 - OWNER_CEILING_FRACTION,
                _ => 0.0,
            },
        };
        let (now, seconds) = (self.clock.now_ms, (self.clock.now_ms - self.clock.started_ms) / 1000.0);
        let plan_settings = &self.settings.plans[plan];
        let customer = self.customers.by_tag.entry(tag).or_insert_with(|| Customer::new(now));
        (customer.first, customer.spread, customer.used_ms) = (first % s.gateways, spread, now);
        if customer.plan.is_none() {
            customer.plan = Some(plan);
            customer.ceiling_fraction = part;
            customer.tokens *= plan_settings.burst_units;
            customer.fill(plan_settings, now);
            let earned = plan_settings.ceiling_rate_per_second * seconds;
            customer.ceiling_tokens = part * earned.min(plan_settings.ceiling_burst_units);
        }
        customer.fill(plan_settings, now);
        customer
    }

    /// Forgets customers whose store is full again, so that one-off customers leave nothing behind.
    pub(crate) fn evict_idle_customers(&mut self) {
        let (now, crowded) = (self.clock.now_ms, self.customers.by_tag.len() > MAX_CUSTOMERS);
        if !self.coordination.is_broadcast() {
            // Nobody is told of these.
            self.customers.unreported.clear();
        }
        let plans = &self.settings.plans;
        self.customers.by_tag.retain(|_, c| {
            let full_ms = match c.plan.map(|p| &plans[p]) {
                Some(p) if p.rate_per_second > 0.0 => 2000.0 * p.burst_units / p.rate_per_second,
                _ => 0.0,
            };
            // A part of a ceiling must not be forgotten before it is full again: it would come back fuller.
            let free = crowded && c.plan.is_none_or(|p| plans[p].ceiling_rate_per_second <= 0.0);
            c.in_flight > 0 || now - c.used_ms < if free { PEER_TIMEOUT_MS } else { full_ms.max(30_000.0) }
        });
    }
}
