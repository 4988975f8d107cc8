//! Endpoints of the list, and what is known of each.
use crate::event::{EndpointEntry, EndpointState, ListKind};
use crate::gateway::Gateway;
use crate::id::{EndpointId, RequestId};
use crate::mechanism::smoothing::decay_towards;
use crate::mechanism::splitmix64::short_tag;
use crate::policy::endpoint_selection::{CLEARLY_SLOW, SEND_RATE_SPAN_S};
use crate::policy::outlier_detection::RESPONSE_TIME_HALF_LIFE_MS;
use crate::policy::slow_start::{WARM_UP_BUDGET_FRACTION, WARM_UP_WEIGHT};
use std::collections::{BTreeMap, BTreeSet};

/// What a symptom of an endpoint is confined to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EjectionScope {
    Class(usize),
    Plan(usize),
}

#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) zone: usize,
    pub(crate) kind: usize,
    pub(crate) cell: u64,
    pub(crate) state: EndpointState,
    pub(crate) started_ms: Option<f64>,
    /// Own attempts out: when sent, and of which request.
    pub(crate) in_flight: Vec<(f64, RequestId, u32)>,
    /// Residence against what is usual, smoothed.
    pub(crate) relative_response_time: f64,
    pub(crate) answered_ms: f64,
    /// When its slowness was last observed or told.
    pub(crate) observed_ms: f64,
    /// When an answer of it was last seen or told, and the attempts seen or told since that brought none.
    pub(crate) last_response_ms: f64,
    pub(crate) missed_responses: u32,
    pub(crate) consecutive_failures: u32,
    pub(crate) error_fraction: f64,
    pub(crate) ejected_until_ms: f64,
    /// Own sends a second, smoothed.
    pub(crate) send_rate: f64,
    pub(crate) send_rate_ms: f64,
    pub(crate) warm_up_tokens: f64,
    pub(crate) warm_up_tokens_ms: f64,
    /// Until when it is left alone with a class or plan, and how often in a row it failed there.
    pub(crate) scoped_ejections: BTreeMap<EjectionScope, (f64, u32)>,
    /// Part of its answers to each class that failed or did not come, smoothed.
    pub(crate) class_failure_fraction: BTreeMap<usize, f64>,
}

/// What a gateway may send a cold endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WarmUpBudget {
    /// Tokens a second; each send takes one.
    pub(crate) rate: f64,
    /// Tokens that may be saved up.
    pub(crate) most: f64,
}

impl Endpoint {
    /// An endpoint newly listed, with tokens for sends while cold.
    pub(crate) fn new(entry: &EndpointEntry, now: f64, cold_tokens: f64) -> Self {
        Endpoint {
            zone: entry.zone,
            kind: entry.kind,
            cell: entry.cell,
            state: entry.state,
            started_ms: entry.started_at_ms,
            in_flight: Vec::new(),
            relative_response_time: 1.0,
            answered_ms: now,
            observed_ms: now,
            last_response_ms: now,
            missed_responses: 0,
            consecutive_failures: 0,
            error_fraction: 0.0,
            ejected_until_ms: 0.0,
            send_rate: 0.0,
            send_rate_ms: now,
            warm_up_tokens: cold_tokens,
            warm_up_tokens_ms: now,
            scoped_ejections: BTreeMap::new(),
            class_failure_fraction: BTreeMap::new(),
        }
    }
}

/// The endpoints of the list.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    pub(crate) by_id: BTreeMap<EndpointId, Endpoint>,
    /// The endpoints by the short tag that messages name them by.
    pub(crate) by_tag: BTreeMap<u32, EndpointId>,
    /// The list is too old to send by.
    pub(crate) list_expired: bool,
}

/// What warm endpoints are sent, as the measure for those that warm up.
#[derive(Debug, Default)]
pub(crate) struct SlowStart {
    /// Own sends a second to a warm endpoint, by kind of machine.
    pub(crate) kind_send_rate: BTreeMap<usize, f64>,
}

impl Endpoint {
    pub(crate) fn send_rate_now(&self, now: f64) -> f64 {
        self.send_rate * (-(now - self.send_rate_ms) / 1000.0 / SEND_RATE_SPAN_S).exp()
    }

    pub(crate) fn relative_response_time_now(&self, now: f64) -> f64 {
        decay_towards(1.0, self.relative_response_time, now - self.answered_ms, RESPONSE_TIME_HALF_LIFE_MS)
    }

    /// Slowness as told, fading to what is usual of its kind.
    pub(crate) fn relative_response_time_from(&self, now: f64, base: f64) -> f64 {
        decay_towards(base, self.relative_response_time, now - self.observed_ms, RESPONSE_TIME_HALF_LIFE_MS)
    }

    /// Tokens for sends while cold. Where less than one may be saved up, a whole one comes now and then, at a
    /// time of the gateway's own, and is lost after so long that the fleet's gateways hold no more at once
    /// than one gateway in their place would: were it kept, each would have one ready when a burst comes.
    pub(crate) fn warm_up_tokens_now(&self, now: f64, budget: WarmUpBudget) -> f64 {
        let tokens = self.warm_up_tokens + budget.rate * (now - self.warm_up_tokens_ms) / 1000.0;
        if budget.most >= 1.0 {
            return tokens.min(budget.most);
        }
        tokens - (tokens - budget.most).floor().max(0.0)
    }
}

impl Gateway {
    pub(crate) fn on_list(&mut self, kind: ListKind, entries: Vec<EndpointEntry>) {
        if kind == ListKind::Failed {
            return;
        }
        self.endpoints.list_expired = kind == ListKind::Expired;
        if self.endpoints.list_expired {
            return;
        }
        if kind != ListKind::Changes {
            let listed: BTreeSet<EndpointId> = entries.iter().map(|e| e.id).collect();
            for (id, endpoint) in &mut self.endpoints.by_id {
                if !listed.contains(id) {
                    endpoint.state = EndpointState::Gone;
                }
            }
        }
        for entry in entries {
            let now = self.clock.now_ms;
            // A part of a token at the start: else all gateways had their first one at the same time.
            let part = if entry.started_at_ms.is_some() { self.random.next_fraction() } else { 0.0 };
            let endpoint =
                self.endpoints.by_id.entry(entry.id).or_insert_with(|| Endpoint::new(&entry, now, part));
            if entry.started_at_ms != endpoint.started_ms && entry.started_at_ms.is_some() {
                // A restarted process owes nothing to what the last one did, but is cold.
                let out = std::mem::take(&mut endpoint.in_flight);
                *endpoint = Endpoint::new(&entry, now, part);
                endpoint.in_flight = out;
            }
            endpoint.state = entry.state;
            (endpoint.zone, endpoint.kind, endpoint.cell) = (entry.zone, entry.kind, entry.cell);
        }
        self.endpoints.by_id.retain(|_, s| s.state != EndpointState::Gone || !s.in_flight.is_empty());
        self.endpoints.by_tag = self.endpoints.by_id.keys().map(|id| (short_tag(id.0), *id)).collect();
    }

    /// Part of its capacity that a endpoint has at least, by its age.
    pub(crate) fn warm_fraction(&self, endpoint: &Endpoint) -> f64 {
        let Some(started) = endpoint.started_ms else { return 1.0 };
        let s = &self.settings;
        if s.warm_up_ms <= 0.0 {
            return 1.0;
        }
        let age = ((self.clock.now_ms - started) / s.warm_up_ms).clamp(0.0, 1.0);
        s.cold_start_fraction + (1.0 - s.cold_start_fraction) * age
    }

    /// Part of a warm endpoint's work that the fleet may send a endpoint: less than it can do, while it is
    /// cold.
    pub(crate) fn send_fraction(&self, endpoint: &Endpoint) -> f64 {
        let warm = self.warm_fraction(endpoint);
        match warm < 1.0 {
            true if !self.coordination.is_broadcast() => WARM_UP_WEIGHT * warm,
            true => WARM_UP_BUDGET_FRACTION * warm,
            false => 1.0,
        }
    }

    /// Own attempts out at a warm endpoint, on the mean. In a wide fleet endpoints are drawn by odds that
    /// fall with what is out: where warm ones have work out and cold ones none, the cold ones would draw most
    /// of it.
    pub(crate) fn mean_warm_in_flight(&self) -> f64 {
        let warm = |s: &&Endpoint| s.state == EndpointState::Ready && self.warm_fraction(s) >= 1.0;
        let (out, count) = self
            .endpoints
            .by_id
            .values()
            .filter(warm)
            .fold((0, 0), |(out, count), s| (out + s.in_flight.len(), count + 1));
        out as f64 / f64::from(count.max(1))
    }

    /// Brings the tokens for cold endpoints up to now, at the rates that held until now, and then the rates.
    pub(crate) fn refill_warm_up_tokens(&mut self) {
        let now = self.clock.now_ms;
        let budgets: Vec<_> =
            self.endpoints.by_id.iter().filter_map(|(id, s)| Some((*id, self.warm_up_budget(s)?))).collect();
        if budgets.is_empty() {
            return;
        }
        for (id, budget) in budgets {
            if let Some(endpoint) = self.endpoints.by_id.get_mut(&id) {
                (endpoint.warm_up_tokens, endpoint.warm_up_tokens_ms) =
                    (endpoint.warm_up_tokens_now(now, budget), now);
            }
        }
        let mut sums: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
        for endpoint in self.endpoints.by_id.values() {
            if endpoint.state == EndpointState::Ready && self.warm_fraction(endpoint) >= 1.0 {
                let sum = sums.entry(endpoint.kind).or_default();
                *sum = (sum.0 + endpoint.send_rate_now(now), sum.1 + 1.0);
            }
        }
        self.slow_start.kind_send_rate =
            sums.into_iter().map(|(kind, (rates, count))| (kind, rates / count)).collect();
    }

    /// The usual slowness of a endpoint's kind, and how far beyond what is clearly slow for it the endpoint
    /// is.
    pub(crate) fn kind_deviation(&self, endpoint: &Endpoint) -> (f64, f64) {
        let base = self.latency.kind_baseline.get(&endpoint.kind).copied().unwrap_or(1.0).max(0.1);
        (base, (endpoint.relative_response_time_from(self.clock.now_ms, base) / base / CLEARLY_SLOW).max(1.0))
    }
}
