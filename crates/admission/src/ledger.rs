//! Bookkeeping: brings the records up to what was decided, sent and heard, and writes and reads the messages.
//! What to send, hold, refuse, ask or tell is decided in `rules.rs`, and every figure used here is named there or in
//! the other policy files.
use crate::cold::*;
use crate::counting::COUNT_EPOCH_MS;
use crate::health::{MAX_EJECTION_MS, OBSERVATION_SPAN_S};
use crate::interface::*;
use crate::keepers::*;
use crate::peer_text::*;
use crate::rules::*;
use crate::state::{
    mix, short_tag, ActiveRequest, Attempt, Customer, EjectionScope, Endpoint, EventClock, Gateway, Grant,
    InFlightBand, LatencyModel, Peer, PeerCount, PeerTable, QuotaCounter, QuotaState, RetryBudget,
    WarmUpBudget,
};
use std::collections::{BTreeMap, BTreeSet};

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

impl Endpoint {
    pub(crate) fn send_rate_now(&self, now: f64) -> f64 {
        self.send_rate * (-(now - self.send_rate_ms) / 1000.0 / SEND_RATE_SPAN_S).exp()
    }

    pub(crate) fn relative_response_time_now(&self, now: f64) -> f64 {
        let faded = 0.5f64.powf((now - self.answered_ms).max(0.0) / RESPONSE_TIME_HALF_LIFE_MS);
        1.0 + (self.relative_response_time - 1.0) * faded
    }

    /// Slowness as told, fading to what is usual of its kind.
    pub(crate) fn relative_response_time_from(&self, now: f64, base: f64) -> f64 {
        base + (self.relative_response_time - base)
            * 0.5f64.powf((now - self.observed_ms).max(0.0) / RESPONSE_TIME_HALF_LIFE_MS)
    }

    /// Tokens for sends while cold. Where less than one may be saved up, a whole one comes now and then, at a time
    /// of the gateway's own, and is lost after so long that the fleet's gateways hold no more at once than one
    /// gateway in their place would: were it kept, each would have one ready when a burst comes.
    pub(crate) fn warm_up_tokens_now(&self, now: f64, budget: WarmUpBudget) -> f64 {
        let tokens = self.warm_up_tokens + budget.rate * (now - self.warm_up_tokens_ms) / 1000.0;
        if budget.most >= 1.0 {
            return tokens.min(budget.most);
        }
        tokens - (tokens - budget.most).floor().max(0.0)
    }
}

impl Gateway {
    /// A gateway with no memory but its settings.
    pub fn new(settings: Settings, seed: u64, now_ms: f64) -> Result<Self, SettingsError> {
        settings.check()?;
        let peers: BTreeMap<usize, Peer> =
            (0..settings.gateways).filter(|p| *p != settings.me).map(|p| (p, Peer::unknown())).collect();
        let mean_by_class_ms: Vec<f64> =
            settings.classes.iter().map(|c| c.latency_objective_ms * 0.15).collect();
        let mut gateway = Gateway {
            clock: EventClock { now_ms, started_ms: now_ms, ..EventClock::default() },
            incarnation: (mix(seed) & 0x3_ffff) as u32,
            random: seed,
            band: InFlightBand {
                watermark: INITIAL_WATERMARK,
                dispatch_credit: 1.0,
                ..InFlightBand::default()
            },
            latency: LatencyModel {
                objective_fraction: 0.15,
                time_budgets: vec![(0.0, 0); mean_by_class_ms.len()],
                mean_by_class_ms,
                ..LatencyModel::default()
            },
            retries: RetryBudget { tokens: MAX_RETRY_TOKENS / 2.0 },
            peers: PeerTable { by_index: peers, message_tokens: 10.0, ..PeerTable::default() },
            quota_counter: QuotaCounter { sampling_fraction: 1.0, ..QuotaCounter::default() },
            settings,
            ..Gateway::default()
        };
        if gateway.gossip_mode() {
            gateway.band.watermark *= GOSSIP_BAND_FACTOR;
        }
        Ok(gateway)
    }

    pub(crate) fn random_fraction(&mut self) -> f64 {
        self.random = mix(self.random);
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

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
            let part = if entry.started_at_ms.is_some() { self.random_fraction() } else { 0.0 };
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

    /// Part of a warm endpoint's work that the fleet may send a endpoint: less than it can do, while it is cold.
    pub(crate) fn send_fraction(&self, endpoint: &Endpoint) -> f64 {
        let warm = self.warm_fraction(endpoint);
        match warm < 1.0 {
            true if self.gossip_mode() => WARM_UP_WEIGHT * warm,
            true => WARM_UP_BUDGET_FRACTION * warm,
            false => 1.0,
        }
    }

    /// Own attempts out at a warm endpoint, on the mean. In a wide fleet endpoints are drawn by odds that fall with what is
    /// out: where warm ones have work out and cold ones none, the cold ones would draw most of it.
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

    pub(crate) fn remove_queued(&mut self, tag: u64, id: RequestId) {
        let Some(flow) = self.queue.flows.get_mut(&tag) else { return };
        if let Some(at) = flow.queue.iter().position(|h| h.0 == id) {
            flow.queue.remove(at);
            self.queue.len -= 1;
            flow.units -= self.requests.active.get(&id).map_or(0.0, |o| o.request.units);
        }
        if flow.queue.is_empty() {
            self.queue.flows.remove(&tag);
        }
    }

    /// The request is answered or its client gone: calls off once what is still out, and forgets it when
    /// all its attempts have ended.
    pub(crate) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.active.get_mut(&id) else { return };
        let pending = (0u32..).zip(&active.attempts).filter(|(_, a)| a.pending);
        let pending: Vec<u32> = pending.map(|(n, _)| n).collect();
        if self.settings.cancel_allowed && !active.closed {
            actions.extend(pending.iter().map(|n| Action::Cancel { request: id, attempt: *n }));
        }
        (active.answered, active.closed) = (true, true);
        let tag = active.tag;
        self.remove_queued(tag, id);
        if pending.is_empty() {
            if let Some(active) = self.requests.active.remove(&id) {
                self.report_request_end(&active, actions);
            }
        }
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
            QuotaState::Asked { keeper, number, .. } | QuotaState::Queued { keeper, number } => {
                keeper == from && number == answer.number
            }
            _ => false,
        };
        if !mine {
            return;
        }
        active.quota = match answer.verdict {
            GRANTED | EASY => QuotaState::Granted { keeper: from, number: answer.number },
            QUEUED => QuotaState::Queued { keeper: from, number: answer.number },
            verdict => QuotaState::Beyond { ceiling: verdict == SOFT },
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

    /// Tells the keeper what a granted request took in the end, where that matters to its count.
    pub(crate) fn report_request_end(&mut self, active: &ActiveRequest, actions: &mut Vec<Action>) {
        if active.quota == (QuotaState::Counted { asked: true }) {
            return self.settle_counted(active, actions);
        }
        let plan = &self.settings.plans[active.request.plan];
        let (keeper, number, owed) = match active.quota {
            QuotaState::Granted { keeper, number } if active.attempts.is_empty() => {
                (keeper, number, -active.request.units)
            }
            QuotaState::Granted { keeper, number }
                if plan.open_limit > 0 || active.settled_units != 0.0 && !active.ample =>
            {
                (keeper, number, active.settled_units)
            }
            QuotaState::Queued { keeper, number } | QuotaState::Asked { keeper, number, .. } => {
                self.quota_owner.pending.remove(&number);
                (keeper, number, -active.request.units)
            }
            _ => return,
        };
        let end = QuotaRelease { customer: active.tag, number, quarters: (owed * 4.0).round() as i32 };
        self.send_gossip(keeper, GossipMessage { releases: vec![end], ..GossipMessage::default() }, actions);
    }

    pub(crate) fn broadcast_counts(&mut self, actions: &mut Vec<Action>) {
        let stock = self.band_load().1;
        let gateways = self.settings.gateways;
        let mut notes: BTreeMap<usize, Vec<CountsMessage>> =
            self.peers.by_index.keys().map(|p| (*p, vec![CountsMessage::default()])).collect();
        let tags: Vec<u64> = self.customers.unreported.iter().copied().collect();
        for tag in tags {
            let Some(customer) = self.customers.by_tag.get_mut(&tag) else {
                self.customers.unreported.remove(&tag);
                continue;
            };
            let Some(plan) = customer.plan.map(|p| &self.settings.plans[p]) else { continue };
            customer.fill(plan, self.clock.now_ms);
            let level = if plan.burst_units > 0.0 { customer.tokens / plan.burst_units } else { 1.0 };
            let entry = CountEntry {
                tag: tag as u32,
                consumed: (customer.consumed * 4.0).round() as i64 as u32 & 0x3_ffff,
                fill: (level.clamp(0.0, 1.0) * 63.0) as u32,
                in_flight: customer.in_flight,
            };
            for step in 0..customer.spread {
                let peer = (customer.first + step) % gateways;
                let Some(list) = notes.get_mut(&peer) else { continue };
                if list.last().is_none_or(|n| n.len() + 23 > MAX_MESSAGE_BYTES) {
                    list.push(CountsMessage::default());
                }
                let Some(note) = list.last_mut() else { continue };
                if customer.pending_rounds > 0 {
                    note.counts.push(entry);
                }
                if customer.ceiling_requested {
                    note.ceiling_requests.push(tag as u32);
                }
                if let Some(gift) = customer.ceiling_transfers.remove(&peer) {
                    note.ceiling_transfers.push((tag as u32, (gift * 4.0) as u32));
                }
            }
            customer.ceiling_requested = false;
            customer.pending_rounds = customer.pending_rounds.saturating_sub(1);
            if customer.pending_rounds == 0 {
                self.customers.unreported.remove(&tag);
            }
        }
        for (id, list) in notes {
            let Some(peer) = self.peers.by_index.get_mut(&id) else { continue };
            let rate = PEER_MESSAGE_FRACTION * self.settings.peer_messages_per_second / (gateways - 1) as f64;
            peer.credit =
                (peer.credit + rate * (self.clock.now_ms - peer.credit_ms) / 1000.0).min(rate.max(1.0));
            peer.credit_ms = self.clock.now_ms;
            for mut note in list {
                let bare = note.len() == CountsMessage::default().len();
                if peer.credit < 1.0
                    || (bare
                        && peer.reported_stock == stock
                        && self.clock.now_ms - peer.reported_ms < MAX_REPORT_INTERVAL_MS)
                {
                    continue;
                }
                peer.credit -= 1.0;
                peer.sent_seq = (peer.sent_seq + 1) & 0xfff;
                (peer.reported_ms, peer.reported_stock) = (self.clock.now_ms, stock);
                (note.incarnation, note.seq, note.stock) = (self.incarnation, peer.sent_seq, stock);
                note.watermark = (self.band.watermark * 16.0) as u32;
                actions.push(Action::SendPeerMessage { to: Some(id), body: note.encode() });
            }
        }
    }

    pub(crate) fn on_counts_message(&mut self, from: usize, body: &str) {
        let now = self.clock.now_ms;
        let (Some(note), Some(peer)) = (CountsMessage::decode(body), self.peers.by_index.get_mut(&from))
        else {
            return;
        };
        let restarted = peer.incarnation != Some(note.incarnation);
        // Repeated and overtaken messages are stale: counts are cumulative, and a gift counts once.
        if !restarted && (note.seq.wrapping_sub(peer.seq) & 0xfff).wrapping_sub(1) >= 0x7ff {
            return;
        }
        (peer.incarnation, peer.seq, peer.stock, peer.received_ms) =
            (Some(note.incarnation), note.seq, note.stock, now);
        peer.watermark = f64::from(note.watermark) / 16.0;
        for entry in note.counts {
            let customer =
                self.customers.by_tag.entry(u64::from(entry.tag)).or_insert_with(|| Customer::new(now));
            let burst = match customer.plan.map(|p| &self.settings.plans[p]) {
                Some(plan) => {
                    customer.fill(plan, now);
                    plan.burst_units
                }
                None => {
                    customer.filled_ms = now;
                    1.0
                }
            };
            let told = f64::from(entry.fill) / 63.0 * burst;
            match customer.peers.get(&from) {
                Some(known) if customer.plan.is_some() => {
                    // A sender that started anew counts from nothing.
                    let before = if known.incarnation == note.incarnation { known.consumed } else { 0 };
                    let mut drawn = f64::from(entry.consumed.wrapping_sub(before) & 0x3_ffff) / 4.0;
                    if drawn >= 32_768.0 {
                        drawn -= 65_536.0;
                    }
                    customer.tokens = (customer.tokens - drawn).clamp(-self.settings.max_units, burst);
                }
                // First word of this peer on this customer: its view of the store is the best there is.
                _ => customer.tokens = customer.tokens.min(told),
            }
            customer.used_ms = now;
            let count = PeerCount {
                incarnation: note.incarnation,
                consumed: entry.consumed,
                in_flight: entry.in_flight,
                received_ms: now,
            };
            customer.peers.insert(from, count);
        }
        for tag in note.ceiling_requests {
            self.transfer_ceiling(from, u64::from(tag));
        }
        for (tag, quarters) in note.ceiling_transfers {
            if let Some((customer, plan)) = self
                .customers
                .by_tag
                .get_mut(&u64::from(tag))
                .and_then(|c| c.plan.map(|p| (c, &self.settings.plans[p])))
            {
                // Never above the own part: the sum of all parts must not pass what the ceiling holds.
                let most = plan.ceiling_burst_units / customer.spread as f64;
                customer.fill(plan, now);
                customer.ceiling_tokens = (customer.ceiling_tokens + f64::from(quarters) / 4.0).min(most);
            }
        }
    }

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
        let part = match (self.gossip_mode() && self.settings.peer_messages_allowed, spread) {
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

    /// Sends a note with the gossip that goes along.
    pub(crate) fn send_gossip(&mut self, to: usize, mut note: GossipMessage, actions: &mut Vec<Action>) {
        if to == self.settings.me {
            return self.handle_quota_traffic(to, note, actions);
        }
        note.stock = (self.gossip.mean_stock * 64.0).round() as u32;
        note.watermark = (self.band.watermark * 32.0).round() as u32;
        note.rate = (self.gossip.mean_answer_rate * 32.0).round() as u32;
        let skip = self.gossip.observations.len().saturating_sub(MAX_OBSERVATIONS);
        note.observations = self.gossip.observations.iter().skip(skip).copied().collect();
        actions.push(Action::SendPeerMessage { to: Some(to), body: note.encode() });
    }

    pub(crate) fn send(&mut self, id: RequestId, endpoint_id: EndpointId, actions: &mut Vec<Action>) {
        let cold = self.endpoints.by_id.get(&endpoint_id).and_then(|s| self.warm_up_budget(s));
        let (Some(active), Some(endpoint)) =
            (self.requests.active.get_mut(&id), self.endpoints.by_id.get_mut(&endpoint_id))
        else {
            return;
        };
        let wait =
            ATTEMPT_TIMEOUT_OBJECTIVES * self.settings.classes[active.request.class].latency_objective_ms;
        let first = active.attempts.is_empty();
        self.band.dispatch_credit = (self.band.dispatch_credit - 1.0).max(-MAX_CREDIT_OVERDRAFT);
        if let Some(budget) = cold {
            endpoint.warm_up_tokens = endpoint.warm_up_tokens_now(self.clock.now_ms, budget) - 1.0;
            endpoint.warm_up_tokens_ms = self.clock.now_ms;
        }
        endpoint.send_rate = endpoint.send_rate_now(self.clock.now_ms) + 1.0 / SEND_RATE_SPAN_S;
        endpoint.send_rate_ms = self.clock.now_ms;
        endpoint.in_flight.push((self.clock.now_ms, id, active.attempts.len() as u32));
        active.attempts.push(Attempt {
            endpoint: endpoint_id,
            zone: endpoint.zone,
            cell: endpoint.cell,
            sent_ms: self.clock.now_ms,
            pending: true,
            may_have_run: false,
        });
        let plan = &self.settings.plans[active.request.plan];
        let own = matches!(active.quota, QuotaState::Own | QuotaState::Counted { .. });
        if first {
            self.retries.tokens = (self.retries.tokens + RETRY_TOKENS_PER_REQUEST).min(MAX_RETRY_TOKENS);
        }
        if let Some(customer) = self.customers.by_tag.get_mut(&active.tag).filter(|_| own) {
            customer.in_flight += 1;
            if first {
                customer.ceiling_tokens -= active.request.units;
                if active.within_quota && plan.rate_per_second > 0.0 && active.quota == QuotaState::Own {
                    customer.tokens -= active.request.units;
                    customer.consumed += active.request.units;
                }
            }
            if plan.open_limit > 0 || (first && active.within_quota) {
                customer.pending_rounds = REPORT_ROUNDS;
                self.customers.unreported.insert(active.tag);
            }
        }
        let timeout_ms = wait.min(active.deadline_ms - self.clock.now_ms).max(1.0);
        actions.push(Action::Send { request: id, endpoint: endpoint_id, timeout_ms });
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

    pub(crate) fn on_gossip_message(&mut self, from: usize, body: &str, actions: &mut Vec<Action>) {
        let Some(note) = GossipMessage::decode(body) else { return };
        let Some(peer) = self.peers.by_index.get_mut(&from) else { return };
        (peer.received_ms, peer.missed_responses, peer.suspected_until_ms) = (self.clock.now_ms, 0, 0.0);
        let told = (f64::from(note.watermark) / 32.0).clamp(self.watermark_floor(), MAX_WATERMARK);
        self.band.watermark += 0.5 * (told - self.band.watermark);
        let told = f64::from(note.stock) / 64.0;
        self.gossip.mean_stock += 0.5 * (told - self.gossip.mean_stock);
        self.gossip.received_stock += RECEIVED_MEAN_GAIN * (told - self.gossip.received_stock);
        let told = f64::from(note.rate) / 32.0;
        self.gossip.mean_answer_rate += 0.5 * (told - self.gossip.mean_answer_rate);
        self.gossip.received_answer_rate += RECEIVED_MEAN_GAIN * (told - self.gossip.received_answer_rate);
        for seen in &note.observations {
            self.apply_observation(*seen);
        }
        if note.responses.is_empty() {
            self.peers.received_rate.add(1.0, self.clock.now_ms, QUOTA_RATE_SPAN_S);
        }
        self.handle_quota_traffic(from, note, actions);
    }

    /// Learns from an observation, own or told.
    pub(crate) fn apply_observation(&mut self, seen: Observation) {
        let now = self.clock.now_ms;
        let Some(id) = self.endpoints.by_tag.get(&seen.endpoint) else { return };
        let jitter = 0.75 + 0.5 * (mix(self.random ^ seen.endpoint as u64) % 1000) as f64 / 1000.0;
        let Some(endpoint) = self.endpoints.by_id.get_mut(id) else { return };
        let cold = endpoint.started_ms.is_some_and(|s| now - s < self.settings.warm_up_ms);
        if seen.what >= SEEN_PLAN {
            let mark = endpoint
                .scoped_ejections
                .entry(EjectionScope::Plan((seen.what - SEEN_PLAN) as usize))
                .or_insert((0.0, 0));
            if now >= mark.0 {
                let backoff = (SCOPED_EJECTION_MS * f64::from(1u32 << mark.1.min(8))).min(MAX_EJECTION_MS);
                *mark = (now + backoff * jitter, mark.1 + 1);
            }
            return;
        }
        let (class, how) = ((seen.what / SEEN_CLASS) as usize, seen.what % SEEN_CLASS);
        if how == SEEN_FAILED {
            endpoint.missed_responses += 1;
        } else {
            (endpoint.last_response_ms, endpoint.missed_responses) = (now, 0);
            self.outliers.observation_rate.add(1.0, now, OBSERVATION_SPAN_S);
        }
        let bad = endpoint.class_failure_fraction.entry(class).or_insert(0.0);
        *bad += CLASS_FAILURE_GAIN * (f64::from(u32::from(how == SEEN_FAILED)) - *bad);
        if how == SEEN_FAILED {
            let mark = endpoint.scoped_ejections.entry(EjectionScope::Class(class)).or_insert((0.0, 0));
            if now >= mark.0 && *bad > MAX_CLASS_FAILURE_FRACTION {
                let backoff = (SCOPED_EJECTION_MS * f64::from(1u32 << mark.1.min(8))).min(MAX_EJECTION_MS);
                *mark = (now + backoff * jitter, mark.1 + 1);
            }
            return;
        }
        let part = seen_part(how);
        let ratio = part / self.latency.objective_fraction.max(0.01);
        let base = self.latency.kind_baseline.entry(endpoint.kind).or_insert(1.0);
        let fade = endpoint.relative_response_time_from(now, *base);
        endpoint.relative_response_time = fade + 0.12 * (ratio - fade);
        endpoint.observed_ms = now;
        if !cold {
            *base += 0.02 * (ratio.min(4.0) - *base);
            self.latency.objective_fraction += 0.02 * (part - self.latency.objective_fraction);
        }
    }

    /// Takes an own observation in and keeps it for telling.
    pub(crate) fn record_observation(&mut self, endpoint: EndpointId, what: u32) {
        let seen = Observation { endpoint: short_tag(endpoint.0), what };
        self.apply_observation(seen);
        if self.gossip.observations.back() != Some(&seen) {
            self.gossip.observations.push_back(seen);
        }
        while self.gossip.observations.len() > MAX_OBSERVATIONS {
            self.gossip.observations.pop_front();
        }
    }

    /// Gives half of the ceiling units not needed here to a peer that asks, taken off before they are told.
    pub(crate) fn transfer_ceiling(&mut self, to: usize, tag: u64) {
        let Some(customer) = self.customers.by_tag.get_mut(&tag) else { return };
        let Some(plan) = customer.plan.map(|p| &self.settings.plans[p]) else { return };
        customer.fill(plan, self.clock.now_ms);
        let gift = ((customer.ceiling_tokens - self.settings.max_units).max(0.0) * 2.0).floor() / 4.0;
        if gift > 0.0 {
            customer.ceiling_tokens -= gift;
            *customer.ceiling_transfers.entry(to).or_insert(0.0) += gift;
            self.customers.unreported.insert(tag);
        }
    }

    /// Forgets customers whose store is full again, so that one-off customers leave nothing behind.
    pub(crate) fn evict_idle_customers(&mut self) {
        let (now, crowded) = (self.clock.now_ms, self.customers.by_tag.len() > MAX_CUSTOMERS);
        if self.gossip_mode() {
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

    pub(crate) fn mean_response_ms(&self) -> f64 {
        self.latency.mean_by_class_ms.iter().sum::<f64>() / self.latency.mean_by_class_ms.len() as f64
    }

    /// Enters an attempt's end: its true units, its active slot, and whether it may have run. Gives the request's
    /// class and plan; `None` where no such attempt is out.
    pub(crate) fn settle_attempt(&mut self, end: &AttemptEnd) -> Option<(usize, usize)> {
        let active = self.requests.active.get_mut(&end.request)?;
        let attempt = active.attempts.get_mut(end.attempt as usize).filter(|a| a.pending)?;
        attempt.pending = false;
        attempt.may_have_run =
            !matches!(end.outcome, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::TooLate);
        let (class, plan) = (active.request.class, active.request.plan);
        let settings = &self.settings.plans[plan];
        let counted = active.within_quota && settings.rate_per_second > 0.0;
        // A figure that no request can count is a spoilt one.
        let told = end.true_units.filter(|t| counted && *t <= self.settings.max_units);
        let settled = told.map_or(0.0, |t| t - active.request.units);
        let own = active.quota == QuotaState::Own;
        if !own {
            active.settled_units += settled;
        }
        if !own && !matches!(active.quota, QuotaState::Counted { .. }) {
            return Some((class, plan));
        }
        if let Some(customer) = self.customers.by_tag.get_mut(&active.tag) {
            customer.in_flight = customer.in_flight.saturating_sub(1);
            if !own {
                return Some((class, plan));
            }
            customer.tokens -= settled;
            customer.consumed += settled;
            if settled != 0.0 || settings.open_limit > 0 {
                customer.pending_rounds = REPORT_ROUNDS;
                self.customers.unreported.insert(active.tag);
            }
        }
        Some((class, plan))
    }

    /// Keeps what an attempt's end shows of its endpoint, for telling and for the own view.
    pub(crate) fn observe_attempt(&mut self, end: &AttemptEnd, class: usize, plan: usize) {
        let aim = self.settings.classes[class].latency_objective_ms;
        let base = SEEN_CLASS * class as u32;
        match end.outcome {
            Outcome::Ok => {
                self.gossip.answer_rate.add(1.0, self.clock.now_ms, QUOTA_RATE_SPAN_S);
                if let Some(endpoint) = self.endpoints.by_id.get_mut(&end.endpoint) {
                    endpoint.scoped_ejections.remove(&EjectionScope::Class(class));
                    // A endpoint that turns a plan away above a rate still takes some of it.
                    if let Some(mark) = endpoint.scoped_ejections.get_mut(&EjectionScope::Plan(plan)) {
                        mark.1 = mark.1.saturating_sub(1);
                    }
                }
                self.record_observation(end.endpoint, seen_answer(class, end.took_ms / aim));
            }
            Outcome::Overloaded => self.record_observation(end.endpoint, SEEN_PLAN + plan as u32),
            // A time-out is no sign of life, and tells of this endpoint, not of how slow the fleet is.
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed | Outcome::TimedOut => {
                self.record_observation(end.endpoint, base + SEEN_FAILED)
            }
            Outcome::Cancelled | Outcome::TooLate => {}
        }
    }

    pub(crate) fn may_reject(&self, active: &ActiveRequest) -> bool {
        let risky = active.attempts.iter().any(|a| a.pending || a.may_have_run);
        match self.settings.classes[active.request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => !risky,
            Idempotency::IdempotencyKey { group, .. } => !risky || group == DedupGroup::All,
        }
    }

    /// The fleet's stock, as gossip has it, in parts of the band's middle.
    pub(crate) fn band_fill(&self, parts: f64) -> f64 {
        self.gossip.received_stock * self.settings.gateways as f64 / (self.band.watermark * parts).max(1.0)
    }

    /// The usual slowness of a endpoint's kind, and how far beyond what is clearly slow for it the endpoint is.
    pub(crate) fn kind_deviation(&self, endpoint: &Endpoint) -> (f64, f64) {
        let base = self.latency.kind_baseline.get(&endpoint.kind).copied().unwrap_or(1.0).max(0.1);
        (base, (endpoint.relative_response_time_from(self.clock.now_ms, base) / base / CLEARLY_SLOW).max(1.0))
    }

    /// Brings the told means towards the own figures.
    pub(crate) fn update_means(&mut self) {
        let (parts, own) = self.band_load();
        self.band.ready_capacity = parts;
        let seconds = (self.clock.now_ms - self.gossip.measured_ms).max(0.0) / 1000.0;
        self.gossip.measured_ms = self.clock.now_ms;
        self.gossip.mean_stock +=
            (1.0 - (-MEAN_GAIN_PER_SECOND * seconds).exp()) * (f64::from(own) - self.gossip.mean_stock);
        let rate = self.gossip.answer_rate.now(self.clock.now_ms, QUOTA_RATE_SPAN_S);
        self.gossip.mean_answer_rate +=
            (1.0 - (-MEAN_GAIN_PER_SECOND * seconds).exp()) * (rate - self.gossip.mean_answer_rate);
        if !self.settings.peer_messages_allowed {
            // Nobody tells: the own part of the fleet stands for the others'.
            (self.gossip.received_stock, self.gossip.received_answer_rate) =
                (self.gossip.mean_stock, self.gossip.mean_answer_rate);
        }
        let usual = self.mean_response_ms();
        let longest = self.settings.classes.iter().map(|c| c.latency_objective_ms).fold(usual, f64::max);
        // Little's law: what is out, over what is answered, tells of a jam before the answers do.
        let out_ms = if self.gossip.received_answer_rate > 0.0 {
            1000.0 * self.gossip.received_stock / self.gossip.received_answer_rate
        } else {
            usual
        };
        self.latency.typical_age_ms = out_ms.clamp(0.5 * usual, 2.0 * longest);
    }

    /// How long the client of a request has waited already, where its time left tells. First tries of a class
    /// all come with the same time left, the commonest; another one is what is left of the deadline, unless it
    /// is under the aim, as an impatient client's. Nothing is concluded while no time left is common.
    pub(crate) fn already_waited_ms(&mut self, class: usize, time_left_ms: f64) -> f64 {
        let settings = &self.settings.classes[class];
        let (near, sure, most) = FIRST_TRIES;
        let (usual_ms, seen) = &mut self.latency.time_budgets[class];
        if (time_left_ms - *usual_ms).abs() <= near * *usual_ms {
            *seen = (*seen + 4).min(most);
            return 0.0;
        }
        *seen -= 1;
        if *seen <= 0 {
            (*usual_ms, *seen) = (time_left_ms, 1);
        }
        let later = *seen >= sure && time_left_ms > settings.latency_objective_ms;
        if later {
            (settings.deadline_ms - time_left_ms).max(0.0)
        } else {
            0.0
        }
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

    /// Asks for the next round of upkeep.
    pub(crate) fn schedule_tick(&mut self, ms: f64, actions: &mut Vec<Action>) {
        self.clock.next_tick_ms = self.clock.now_ms + ms;
        actions.push(Action::SetTimer { at_ms: self.clock.next_tick_ms, token: 0 });
    }
}
