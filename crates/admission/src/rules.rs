//! The decision policy. Its settings, events and actions are named in `src/interface.rs`; the text of
//! messages between gateways is in `src/peer_text.rs`; what makes a endpoint ill is decided in `src/health.rs`,
//! and how much a cold one may be sent in `src/cold.rs`. All other decisions and tuned values are here.
use crate::cold::{WARM_UP_BUDGET_FRACTION, WARM_UP_WEIGHT};
use crate::interface::*;
use crate::keepers::*;
use crate::peer_text::*;
pub use crate::state::Gateway;
use crate::state::{customer_tag, ActiveRequest, EjectionScope, Endpoint, QuotaState};
use std::collections::BTreeMap;

/// Time between two rounds of upkeep: short beside any aim, so that nothing is noticed late.
pub(crate) const UPKEEP_MS: f64 = 20.0;
/// A wide fleet's gateway looks at all endpoints this often, and at nothing more often while it has no request.
pub(crate) const IDLE_UPKEEP_MS: f64 = 100.0;
/// A peer's told stock counts for this long (the design's two seconds).
pub(crate) const PEER_TIMEOUT_MS: f64 = 2000.0;
/// For so long after its start a gateway spends only its part of each burst: peers may not have told theirs.
pub(crate) const STARTUP_MS: f64 = 1000.0;
/// Part of the messages that a peer takes in that all its peers together use: room for chance.
pub(crate) const PEER_MESSAGE_FRACTION: f64 = 0.7;
/// Shortest time between two rounds of telling.
pub(crate) const MIN_REPORT_INTERVAL_MS: f64 = 40.0;
/// A peer hears from us at least this often.
pub(crate) const MAX_REPORT_INTERVAL_MS: f64 = 400.0;
/// Longest message, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 256;
/// Rounds in which a changed count is told: once more than needed heals one loss at once.
pub(crate) const REPORT_ROUNDS: u8 = 2;
/// The paper's watermark for each backend, where the band starts.
pub(crate) const INITIAL_WATERMARK: f64 = 2.0;
/// The band never closes below this for each endpoint, however slow the answers.
pub(crate) const MIN_WATERMARK: f64 = 2.0;
/// Both are so many times as high in a wide fleet. What many gateways place by chance lies unevenly: at 2 a
/// endpoint of two cores stands empty an eighth of the time and half empty a quarter; at 4 it rarely does.
pub(crate) const GOSSIP_BAND_FACTOR: f64 = 2.0;
/// Nor opens beyond this.
pub(crate) const MAX_WATERMARK: f64 = 64.0;
/// The paper's deviation of the band's bounds from the watermark.
pub(crate) const BAND_DEVIATION: f64 = 0.1;
/// Residence, in parts of the aim, below which answers are prompt and the band may rise.
pub(crate) const PROMPT_FRACTION: f64 = 0.26;
/// Most that the watermark rises in a step, at no residence at all: less as answers are less prompt.
pub(crate) const MAX_WATERMARK_RISE: f64 = 0.4;
/// Residence, in parts of the aim, above which answers near the aim and the band falls.
pub(crate) const SLUGGISH_FRACTION: f64 = 0.36;
/// In a wide fleet endpoints are drawn by chance, so that answers spread more at the same load: the two bounds
/// are eased by this, and what is out over what is answered, which stuck attempts can swell, counts for less.
pub(crate) const GOSSIP_LATENCY_EASE: f64 = 1.5;
pub(crate) const GOSSIP_AGE_WEIGHT: f64 = 0.9;
/// Time between two steps of the watermark, in parts of the aim: answers must have time to tell the effect.
pub(crate) const WATERMARK_STEP_OBJECTIVES: f64 = 0.12;
/// First tries of a class come with one time left: how near, how often seen to be sure of it, and at most.
pub(crate) const FIRST_TRIES: (f64, i32, i32) = (0.02, 10, 30);
/// Usual residences that must be left for a request to be sent: answers spread widely, and one that its
/// client no longer waits for is work wasted, which costs most while the endpoints are pressed. Else the least
/// is enough: were it never, a fleet that has been slow would be sent nothing, and not be seen to be well.
pub(crate) const MIN_RESPONSE_TIMES_LEFT_SATURATED: f64 = 2.5;
pub(crate) const MIN_RESPONSE_TIMES_LEFT: f64 = 0.8;
/// Part of the band's middle from which the endpoints are pressed.
pub(crate) const SATURATED_FILL: f64 = 0.5;
/// Held work in all, at most: a bound on memory, far above what can be answered within an aim.
pub(crate) const MAX_QUEUED: usize = 4000;
/// Time-out of an attempt, in aims. Past the aim an answer earns little, but while the endpoint may still work
/// on it the attempt belongs in the stock: forgetting it sooner let in more than the endpoints could do.
pub(crate) const ATTEMPT_TIMEOUT_OBJECTIVES: f64 = 2.0;
/// Customers kept at most; the idle ones beyond go first.
pub(crate) const MAX_CUSTOMERS: usize = 50_000;
/// Further attempts earned by each first one, and the most that may be saved up.
pub(crate) const RETRY_TOKENS_PER_REQUEST: f64 = 0.2;
pub(crate) const MAX_RETRY_TOKENS: f64 = 20.0;
/// Silence, in parts of what is called silent, from which a endpoint's work leaves the stock.
pub(crate) const HUNG_SILENCE: f64 = 2.0;
/// Part of the endpoints that must be well for illness to be a endpoint's own: else the cause is shared.
pub(crate) const MIN_HEALTHY_FRACTION: f64 = 0.25;
/// Most that a wide fleet's gateway sends within its zone: the rest shows it how others do. It comes to one
/// of 60 endpoints too seldom to find its connection still active; of its zone's it finds most.
pub(crate) const MAX_LOCAL_FRACTION: f64 = 0.9;
/// A endpoint of the other zone must be better by this factor to be chosen.
pub(crate) const REMOTE_ZONE_COST: f64 = 1.1;
/// A slow endpoint's mark fades by half in this time without answers, so that it is tried again.
pub(crate) const RESPONSE_TIME_HALF_LIFE_MS: f64 = 4000.0;

/// Part of the band's middle under which a wide fleet sends freely. Above it each gateway sends at its even
/// part
/// of the rate that keeps the band filled, more or less as the stock is under or over: gossip is late, and a
/// gate that opens or shuts for everyone at once swings.
pub(crate) const UNGATED_FILL: f64 = 0.6;
pub(crate) const MAX_REFILL_FACTOR: f64 = 3.0;
pub(crate) const MIN_REFILL_FACTOR: f64 = 0.3;
/// Sends not yet earned that a request of boundless worth may take, and how many may be taken in all.
pub(crate) const CREDIT_OVERDRAFT: f64 = 1.5;
pub(crate) const MAX_CREDIT_OVERDRAFT: f64 = 1.0;
/// How fast the told mean stock follows the own, a second.
pub(crate) const MEAN_GAIN_PER_SECOND: f64 = 2.0;
/// Weight of each told mean in what the band goes by: own attempts, few and jumpy, stay out of it.
pub(crate) const RECEIVED_MEAN_GAIN: f64 = 0.15;
/// Observations of endpoints in a message, at most, and kept for telling.
pub(crate) const MAX_OBSERVATIONS: usize = 3;
/// Usual residences, and part of the aim, after which an attempt is told as out for long; and how many times
/// that until it is taken for stuck though nobody else told the same.
pub(crate) const LONG_RESPONSE_TIMES: f64 = 2.5;
pub(crate) const LONG_OBJECTIVE_FRACTION: f64 = 0.25;
pub(crate) const STALLED_FACTOR: f64 = 1.6;

/// Whether a held request's customer lets it go now.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Gate {
    Go,
    Wait,
    Beyond,
}

impl Gateway {
    /// Takes one event in and adds what is to be done to `actions`.
    pub fn on_event(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        self.clock.now_ms = self.clock.now_ms.max(now_ms);
        if !self.clock.ticking {
            self.clock.ticking = true;
            self.schedule_tick(UPKEEP_MS, actions);
        }
        match event {
            Event::EndpointList { kind, entries } => self.on_list(kind, entries),
            Event::Request(request) => self.on_request(request, actions),
            Event::Timer { .. }
                if !self.gossip_mode() || self.clock.now_ms >= self.clock.next_tick_ms - 0.5 =>
            {
                self.upkeep(actions)
            }
            Event::Timer { .. } => {}
            Event::AttemptEnded(end) => self.on_attempt_end(&end, actions),
            Event::ClientGone { request } => self.close(request, actions),
            Event::PeerMessage { from, body } if self.gossip_mode() => {
                self.on_gossip_message(from, &body, actions)
            }
            Event::PeerMessage { from, body } => self.on_counts_message(from, &body),
            Event::CounterReply { name, outcome, .. } => self.on_counter_reply(name, outcome, actions),
            Event::StreamOpened { .. } | Event::ProbeDone { .. } => {}
        }
        self.dispatch(actions);
        if !self.requests.active.is_empty() && self.clock.next_tick_ms > self.clock.now_ms + UPKEEP_MS {
            self.schedule_tick(UPKEEP_MS, actions);
        }
    }

    // ---- The endpoint list ----

    /// Ready endpoints as the band counts them, and own attempts out on them. Work stuck on endpoints that failed
    /// is left out of both, else it would swell the stock and hold everyone; a short silence is no proof, and
    /// leaving that work out would let the slow be flooded.
    pub(crate) fn band_load(&self) -> (f64, u32) {
        let (mut parts, mut out) = (0.0, 0);
        for endpoint in self.endpoints.by_id.values() {
            let backing_off =
                endpoint.consecutive_failures > 0 && self.clock.now_ms < endpoint.ejected_until_ms;
            let marked = endpoint
                .scoped_ejections
                .iter()
                .any(|(c, m)| matches!(c, EjectionScope::Class(_)) && self.clock.now_ms < m.0);
            // What is out at the clearly slow swells the stock as if the rest were full.
            let slow = self.gossip_mode() && self.kind_deviation(endpoint).1 > CLEARLY_SLOW;
            let failed = endpoint.state == EndpointState::Gone
                || backing_off
                || marked
                || slow
                || self.is_unresponsive(endpoint);
            let lost = failed || self.silence(endpoint) > HUNG_SILENCE;
            if lost && !self.outliers.correlated_failure {
                continue;
            }
            out += endpoint.in_flight.len() as u32;
            if endpoint.state == EndpointState::Ready {
                parts += self.send_fraction(endpoint);
            }
        }
        (parts, out)
    }

    fn detect_correlated_failure(&mut self) {
        // One vote a endpoint, so that work piled up on a hung zone does not outvote the rest; one with nothing
        // out votes for the usual time. Less than the median: a zone of two may be gone with its work out.
        let usual = self.mean_response_ms();
        let age = |s: &Endpoint| match s.in_flight.len() {
            0 => 0.5 * usual,
            n => s.in_flight.iter().map(|o| self.clock.now_ms - o.0).sum::<f64>() / n as f64,
        };
        if !self.gossip_mode() {
            let mut ages: Vec<f64> = self.endpoints.by_id.values().map(age).collect();
            ages.sort_by(f64::total_cmp);
            self.latency.typical_age_ms = ages.get(ages.len() * 2 / 5).copied().unwrap_or(0.0);
        }
        let ready: Vec<&Endpoint> =
            self.endpoints.by_id.values().filter(|s| s.state == EndpointState::Ready).collect();
        let well = ready.iter().filter(|s| !self.is_outlier(s)).count() as f64;
        self.outliers.correlated_failure = well < ready.len() as f64 * MIN_HEALTHY_FRACTION;
    }

    /// The endpoint expected to finish first, by attempts out over learned speed. In a wide fleet it is drawn
    /// by seeded chance, the likelier the cheaper: gateways that have little out each and hear the same would
    /// else all choose the same one, and all gateways together would pass a cold endpoint's budget in step.
    fn select_endpoint(&mut self, id: RequestId) -> Option<EndpointId> {
        let (wide, draw) =
            (self.gossip_mode(), if self.gossip_mode() { self.random_fraction() } else { 0.0 });
        if self.endpoints.list_expired {
            return None;
        }
        let active = self.requests.active.get(&id)?;
        let (class, plan) =
            (EjectionScope::Class(active.request.class), EjectionScope::Plan(active.request.plan));
        let once = self.settings.classes[active.request.class].idempotency != Idempotency::Idempotent;
        let mut found: Vec<(f64, EndpointId, bool)> = Vec::new();
        // What endpoints can take, by zone.
        let mut zones: BTreeMap<usize, f64> = BTreeMap::new();
        let warm_out = if wide { self.mean_warm_in_flight() } else { 0.0 };
        let cold_odds = if wide { self.warm_up_odds(id, active.attempts.len()) } else { None };
        for (endpoint_id, endpoint) in &self.endpoints.by_id {
            let warm = self.warm_fraction(endpoint);
            if endpoint.state != EndpointState::Ready || !self.may_attempt(active, endpoint) {
                continue;
            }
            let marked = |what| endpoint.scoped_ejections.get(&what).is_some_and(|m| self.clock.now_ms < m.0);
            let probing = !wide && endpoint.consecutive_failures > 0 && !endpoint.in_flight.is_empty();
            // Only what may be repeated tries out a endpoint that leaves others without an answer.
            let silent =
                wide && if once { endpoint.missed_responses > 0 } else { self.is_unresponsive(endpoint) };
            let ill = self.is_outlier(endpoint) || probing || marked(class) || marked(plan) || silent && once;
            // That little is out at a cold endpoint is no reason to send it more than its part.
            let out = if warm < 1.0 { warm_out } else { 0.0 }.max(endpoint.in_flight.len() as f64) + 1.0;
            let mut cost = out / warm;
            cost *= if active.attempts.iter().any(|a| a.endpoint == *endpoint_id) { 4.0 } else { 1.0 };
            if wide {
                let (base, off) = self.kind_deviation(endpoint);
                cost *= out * base * off * off / if warm < 1.0 { WARM_UP_WEIGHT } else { 1.0 };
                cost *= if silent { PROBE_DIVISOR } else { 1.0 };
                let takes = if ill || silent { 0.0 } else { self.send_fraction(endpoint) };
                *zones.entry(endpoint.zone).or_insert(0.0) += takes;
            } else {
                cost *= if endpoint.zone == self.settings.zone { 1.0 } else { REMOTE_ZONE_COST };
                cost *= endpoint.relative_response_time_now(self.clock.now_ms);
            }
            if let Some(budget) = self.warm_up_budget(endpoint).filter(|_| !wide) {
                if endpoint.warm_up_tokens_now(self.clock.now_ms, budget) < 1.0 {
                    continue;
                }
                // The seldomer there is a token, the likelier it is used.
                cost *= (WARM_UP_BUDGET_FRACTION * budget.most).min(1.0);
            }
            match cold_odds {
                Some(odds) if wide && warm < 1.0 => cost /= odds,
                None if wide && warm < 1.0 => continue,
                _ => {}
            }
            found.push((cost, *endpoint_id, ill));
        }
        // When most look ill the cause is shared, and none is left out.
        let well = found.iter().filter(|f| !f.2).count() as f64;
        if !(self.outliers.correlated_failure || wide && well < MIN_HEALTHY_FRACTION * found.len() as f64) {
            found.retain(|f| !f.2);
        }
        if !wide {
            return found.iter().min_by(|a, b| a.0.total_cmp(&b.0)).map(|f| f.1);
        }
        // The own zone's endpoints get as much as they can take beside what the other zones' take from theirs.
        let home = |endpoint_id: &EndpointId| {
            self.endpoints.by_id.get(endpoint_id).is_some_and(|s| s.zone == self.settings.zone)
        };
        let (inside, outside) = found.iter().fold((0.0, 0.0), |(inside, outside), f| match home(&f.1) {
            true => (inside + 1.0 / f.0, outside),
            false => (inside, outside + 1.0 / f.0),
        });
        let takes = zones.get(&self.settings.zone).copied().unwrap_or(0.0);
        let even = zones.values().sum::<f64>() / zones.len().max(1) as f64;
        let stays =
            (MAX_LOCAL_FRACTION * takes / even.max(1e-9)).clamp(1.0 / PROBE_DIVISOR, MAX_LOCAL_FRACTION);
        let both = inside > 0.0 && outside > 0.0;
        let abroad = if both { (1.0 - stays) / outside } else { 1.0 };
        let weight = |f: &(f64, EndpointId, bool)| match home(&f.1) {
            true if both => stays / inside / f.0,
            true => 1.0 / f.0,
            false => abroad / f.0,
        };
        let mut left = draw * found.iter().map(weight).sum::<f64>();
        let drawn = found.iter().find(|f| {
            left -= weight(f);
            left <= 0.0
        });
        drawn.or(found.last()).map(|f| f.1)
    }

    // ---- Further attempts ----

    /// Whether an attempt at this endpoint keeps rule 2.
    fn may_attempt(&self, active: &ActiveRequest, endpoint: &Endpoint) -> bool {
        let mut risky = active.attempts.iter().filter(|a| a.pending || a.may_have_run).peekable();
        let Some(first) = risky.peek() else { return true };
        if !self.settings.hedging_allowed && active.attempts.iter().any(|a| a.pending) {
            return false;
        }
        match self.settings.classes[active.request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotencyKey { group, window_ms } => {
                // A margin for the ways of the network: the window counts where the endpoints are.
                let in_time =
                    self.clock.now_ms - first.sent_ms < 0.9 * window_ms - 2.0 * self.settings.tick_ms;
                in_time
                    && risky.all(|a| match group {
                        DedupGroup::All => true,
                        DedupGroup::Zone => a.zone == endpoint.zone,
                        DedupGroup::Cell => a.cell == endpoint.cell,
                    })
            }
        }
    }

    /// Another attempt where class, time and the retry budget allow.
    fn retry(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(active) = self.requests.active.get(&id) else { return false };
        if active.answered
            || self.cannot_meet_deadline(active)
            || active.attempts.len() >= self.settings.max_attempts as usize
        {
            return false;
        }
        let price = if active.attempts.iter().any(|a| a.pending || a.may_have_run) { 1.0 } else { 0.2 };
        if self.retries.tokens < price {
            return false;
        }
        let Some(endpoint) = self.select_endpoint(id) else { return false };
        self.retries.tokens -= price;
        self.send(id, endpoint, actions);
        true
    }

    /// Work stuck on an ailing endpoint gets a second copy, or where copies are not allowed is called off
    /// and tried again. Guards against hung machines and lost zones, whatever the cause.
    fn rescue_stalled(&mut self, actions: &mut Vec<Action>) {
        if self.outliers.correlated_failure {
            return;
        }
        let mut stuck = if self.gossip_mode() { self.stalled_attempts() } else { Vec::new() };
        for endpoint in self.endpoints.by_id.values().filter(|s| !self.gossip_mode() && self.is_outlier(s)) {
            stuck.extend(endpoint.in_flight.iter().map(|o| (o.1, o.2)));
        }
        for (id, attempt) in stuck {
            let Some(active) = self.requests.active.get(&id) else { continue };
            let pending = active.attempts.iter().filter(|a| a.pending).count();
            if active.answered || pending > 1 || active.attempts.len() >= self.settings.max_attempts as usize
            {
                continue;
            }
            let once = self.settings.classes[active.request.class].idempotency == Idempotency::NonIdempotent;
            if self.settings.hedging_allowed {
                self.retry(id, actions);
            } else if self.settings.cancel_allowed && !once && self.retries.tokens >= 1.0 {
                actions.push(Action::Cancel { request: id, attempt });
            }
        }
    }

    // ---- Requests ----

    fn on_request(&mut self, request: Request, actions: &mut Vec<Action>) {
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
        let wide = self.gossip_mode();
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
            if hopeless || self.queue.len >= MAX_QUEUED {
                return self.finish(id, self.overload_retry_after(), actions);
            }
            let worth = self.settings.classes[class].priority_weight.max(0.01);
            self.enqueue(id, tag, &plan, units / worth);
            return self.check_quota(id, actions);
        }
        let reserved = self.queue.flows.get(&tag).map_or(0.0, |f| f.units);
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
        let may_go =
            if inside { under_upper && self.quota_gate(id) == Gate::Go } else { under_lower && earns };
        if may_go && !self.band.blocked {
            if let Some(endpoint) = self.select_endpoint(id) {
                return self.send(id, endpoint, actions);
            }
        }
        if inside && self.queue.len < MAX_QUEUED {
            self.enqueue(id, tag, &plan, units);
        } else {
            let wait = Some(1000.0 * short / plan.rate_per_second).filter(|w| w.is_finite());
            self.finish(id, wait, actions);
        }
    }

    /// Whether an answer can no longer come within the aim or the client's wait. Guards rule 1, and against
    /// late work, which is waste.
    fn cannot_meet_deadline(&self, active: &ActiveRequest) -> bool {
        let end = active.objective_at_ms.min(active.deadline_ms - UPKEEP_MS - 2.0 * self.settings.tick_ms);
        let wanted =
            if self.band.saturated { MIN_RESPONSE_TIMES_LEFT_SATURATED } else { MIN_RESPONSE_TIMES_LEFT }
                * self.latency.mean_by_class_ms[active.request.class];
        end - self.clock.now_ms < wanted
    }

    fn enqueue(&mut self, id: RequestId, tag: u64, plan: &PlanSettings, units: f64) {
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
    fn quota_gate(&mut self, id: RequestId) -> Gate {
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

    /// Whether the stock lies under the lower and under the upper bound of the band. A gateway with less out
    /// than its even part of the band counts as under it whatever the stock: guards against being locked out
    /// by peers that see a wider band, or by totals that are wrong.
    fn under_band(&self, id: RequestId) -> (bool, bool) {
        if self.gossip_mode() {
            let go = self.band.dispatch_credit >= self.credit_required(id)
                || self.band_fill(self.band.ready_capacity) < UNGATED_FILL;
            return (go, go);
        }
        let (own, stock, middle, count) = self.band();
        let (lower, upper) = (middle * (1.0 - BAND_DEVIATION), middle * (1.0 + BAND_DEVIATION));
        let entitled = own < lower / count;
        (entitled || stock < lower, entitled || stock < upper)
    }

    /// Earned sends that a request of a wide fleet must find: a whole one in the cheapest class, fewer where
    /// it is worth more, so that while sends are short the cheap wait for the dear.
    fn credit_required(&self, id: RequestId) -> f64 {
        let worth = |class: usize| self.settings.classes[class].priority_weight;
        let least = (0..self.settings.classes.len()).map(worth).fold(f64::INFINITY, f64::min);
        let own = self.requests.active.get(&id).map_or(least, |o| worth(o.request.class));
        1.0 - CREDIT_OVERDRAFT * (1.0 - least / own.max(1e-9)).max(0.0)
    }

    /// Own stock, that of all, the band's middle, and how many gateways these are of.
    fn band(&self) -> (f64, f64, f64, f64) {
        let (parts, own) = self.band_load();
        let live =
            self.peers.by_index.values().filter(|p| self.clock.now_ms - p.received_ms < PEER_TIMEOUT_MS);
        let (told, marks, count) = live.fold((0, self.band.watermark, 1.0), |(told, marks, count), p| {
            (told + p.stock, marks + p.watermark, count + 1.0)
        });
        (f64::from(own), f64::from(own + told), marks / count * parts, count)
    }

    /// Under the lower bound the smallest virtual finish leaves, first come first within a customer.
    fn dispatch(&mut self, actions: &mut Vec<Action>) {
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

    /// When to come back to a gateway that had no room in time: after the longest wait that clients heed.
    /// Try on try would come too late as well, and each is weighed and asked about anew.
    fn overload_retry_after(&self) -> Option<f64> {
        Some(self.settings.max_retry_after_ms).filter(|ms| *ms > 0.0)
    }

    /// Gives the final answer: a refusal where that promise can be kept.
    fn finish(&mut self, id: RequestId, retry_after_ms: Option<f64>, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.active.get(&id).filter(|o| !o.answered) else { return };
        actions.push(if self.may_reject(active) {
            Action::Reject { request: id, retry_after_ms }
        } else {
            Action::Fail { request: id }
        });
        self.close(id, actions);
    }

    fn on_attempt_end(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let (id, outcome) = (end.request, end.outcome);
        let Some((class, plan)) = self.settle_attempt(end) else { return };
        self.record_attempt_end(end, class, plan);
        let Some(active) = self.requests.active.get_mut(&id) else { return };
        let waits = active.attempts.iter().any(|a| a.pending);
        if end.closed || outcome == Outcome::Ok || active.answered {
            self.close(id, actions);
        } else if !waits && (outcome == Outcome::TooLate || !self.retry(id, actions)) {
            self.finish(id, None, actions);
        }
    }

    // ---- Upkeep ----

    fn upkeep(&mut self, actions: &mut Vec<Action>) {
        let wide = self.gossip_mode();
        self.schedule_tick(
            if wide && self.requests.active.is_empty() { IDLE_UPKEEP_MS } else { UPKEEP_MS },
            actions,
        );
        if !wide || self.clock.now_ms - self.gossip.measured_ms >= IDLE_UPKEEP_MS {
            self.detect_correlated_failure();
            if !wide {
                self.refill_warm_up_tokens();
            }
        }
        self.band.saturated = if wide {
            self.band_fill(self.band.ready_capacity) > SATURATED_FILL
        } else {
            let (_, stock, middle, _) = self.band();
            stock > SATURATED_FILL * middle
        };
        let guard = UPKEEP_MS + 2.0 * self.settings.tick_ms;
        let mut due = Vec::new();
        for (id, active) in self.requests.active.iter().filter(|o| !o.1.answered) {
            let hopeless = active.attempts.is_empty() && self.cannot_meet_deadline(active);
            if hopeless || active.deadline_ms - self.clock.now_ms < guard {
                due.push(*id);
            }
        }
        for id in due {
            let unsent = self.requests.active.get(&id).is_some_and(|o| o.attempts.is_empty());
            self.finish(id, if unsent { self.overload_retry_after() } else { None }, actions);
        }
        self.rescue_stalled(actions);
        if wide {
            self.gossip_upkeep(actions);
        }
        let aim = self.settings.classes.iter().map(|c| c.latency_objective_ms).fold(f64::INFINITY, f64::min);
        if self.clock.now_ms - self.band.stepped_ms >= aim * WATERMARK_STEP_OBJECTIVES {
            self.band.stepped_ms = self.clock.now_ms;
            // What is still out tells of trouble before the answers do.
            let (told, ease) = if wide { (GOSSIP_AGE_WEIGHT, GOSSIP_LATENCY_EASE) } else { (1.5, 1.0) };
            let part = self.latency.objective_fraction.max(told * self.latency.typical_age_ms / aim);
            if part > ease * SLUGGISH_FRACTION {
                self.band.watermark = (self.band.watermark * 0.93).max(self.watermark_floor());
            } else if part < ease * PROMPT_FRACTION
                && (self.band.was_blocked
                    || self.band.blocked
                    || wide && self.band_fill(self.band.ready_capacity) > UNGATED_FILL)
            {
                let rise = 1.0 + MAX_WATERMARK_RISE * (1.0 - part / (ease * PROMPT_FRACTION));
                self.band.watermark = (self.band.watermark * rise).min(MAX_WATERMARK);
            }
            self.band.was_blocked = false;
        }
        let peers = self.settings.gateways.saturating_sub(1) as f64;
        let gap = (1000.0 * peers
            / (PEER_MESSAGE_FRACTION * self.settings.peer_messages_per_second).max(0.1))
        .max(MIN_REPORT_INTERVAL_MS);
        if self.clock.now_ms - self.peers.reported_ms >= gap
            && self.settings.peer_messages_allowed
            && peers > 0.0
            && !self.gossip_mode()
        {
            self.peers.reported_ms = self.clock.now_ms;
            self.broadcast_counts(actions);
        }
        if self.clock.now_ms - self.customers.evicted_ms >= 1000.0 {
            self.customers.evicted_ms = self.clock.now_ms;
            self.evict_idle_customers();
        }
    }

    // ---- Peers ----
}

// ---- Wide fleets: keepers, gossip, endpoints by chance ----

impl Gateway {
    /// Whether the gateways are more than could each be heard often enough for the band's silence.
    pub(crate) fn gossip_mode(&self) -> bool {
        let told =
            if self.settings.peer_messages_allowed { self.settings.peer_messages_per_second } else { 0.0 };
        self.settings.gateways as f64 - 1.0 > PEER_MESSAGE_FRACTION * told * MAX_REPORT_INTERVAL_MS / 1000.0
    }

    /// The least that the band lets each endpoint have.
    pub(crate) fn watermark_floor(&self) -> f64 {
        MIN_WATERMARK * if self.gossip_mode() { GOSSIP_BAND_FACTOR } else { 1.0 }
    }

    /// Upkeep of a wide fleet's gateway.
    fn gossip_upkeep(&mut self, actions: &mut Vec<Action>) {
        if self.clock.now_ms - self.gossip.measured_ms >= IDLE_UPKEEP_MS {
            self.update_means();
        }
        let parts = self.band.ready_capacity;
        let seconds = (self.clock.now_ms - self.band.credited_ms).max(0.0) / 1000.0;
        self.band.credited_ms = self.clock.now_ms;
        let even = self.band.watermark * parts / self.settings.gateways as f64;
        let usual_s = self.mean_response_ms() / 1000.0;
        let pace = (MAX_REFILL_FACTOR - (MAX_REFILL_FACTOR - 1.0) * self.band_fill(parts))
            .clamp(MIN_REFILL_FACTOR, MAX_REFILL_FACTOR);
        self.band.dispatch_credit =
            (self.band.dispatch_credit + pace * even / usual_s * seconds).min(1.0f64.max(even));
        let taken_in = self.settings.peer_messages_per_second;
        let told = PEER_MESSAGE_FRACTION * taken_in;
        let questions = self.peers.received_rate.now(self.clock.now_ms, QUOTA_RATE_SPAN_S);
        let asks = (QUOTA_MESSAGE_FRACTION * taken_in - questions).max(MIN_QUOTA_MESSAGE_FRACTION * taken_in);
        self.peers.message_tokens = (self.peers.message_tokens + asks * seconds).min(told);
        let least =
            self.settings.classes.iter().map(|c| c.latency_objective_ms).fold(f64::INFINITY, f64::min);
        let patience = (RESPONSE_WAIT_FRACTION * least).max(MIN_RESPONSE_WAIT_MS);
        let now = self.clock.now_ms;
        let mut late = Vec::new();
        for id in self.quota_owner.pending.values() {
            if let Some(QuotaState::Asked { keeper, at_ms, tries, .. }) =
                self.requests.active.get(id).map(|o| o.quota)
            {
                if now - at_ms > patience {
                    late.push((*id, keeper, tries));
                }
            }
        }
        for (id, keeper, tries) in late {
            if let Some(peer) = self.peers.by_index.get_mut(&keeper) {
                peer.missed_responses += 1;
                if peer.missed_responses > 1 {
                    peer.suspected_until_ms = now + SUSPECT_MS;
                }
            }
            if tries < 3 && self.peers.message_tokens > 0.5 * told {
                self.request_quota(id, tries + 1, actions);
            } else {
                self.decide_without_owner(id, true);
            }
        }
    }

    /// Own attempts that their endpoint is taken to leave unanswered: out for very long, or long where others
    /// told the same of the endpoint.
    fn stalled_attempts(&mut self) -> Vec<(RequestId, u32)> {
        let (mut stuck, mut marks) = (Vec::new(), Vec::new());
        for (id, active) in &self.requests.active {
            let class = active.request.class;
            let limit = self.latency.mean_by_class_ms[class] * LONG_RESPONSE_TIMES;
            let limit =
                limit.max(LONG_OBJECTIVE_FRACTION * self.settings.classes[class].latency_objective_ms);
            for (number, attempt) in (0u32..).zip(&active.attempts).filter(|(_, a)| a.pending) {
                let Some(endpoint) = self.endpoints.by_id.get(&attempt.endpoint) else { continue };
                let marked = endpoint
                    .scoped_ejections
                    .get(&EjectionScope::Class(class))
                    .is_some_and(|m| self.clock.now_ms < m.0);
                let age = self.clock.now_ms - attempt.sent_ms;
                let silent = self.is_outlier(endpoint) || self.is_unresponsive(endpoint);
                if silent || age > limit * if marked { 1.0 } else { STALLED_FACTOR } {
                    stuck.push((*id, number));
                }
                if age > limit && age < limit + UPKEEP_MS {
                    marks.push((attempt.endpoint, SEEN_CLASS * class as u32 + SEEN_FAILED));
                }
            }
        }
        marks.iter().for_each(|m| self.record_observation(m.0, m.1));
        stuck
    }
}

/// A silent endpoint gets so small a part of what it would get, to be tried out by some gateway now and then.
pub(crate) const PROBE_DIVISOR: f64 = 20.0;
/// First time a endpoint is left alone with a class or plan; doubles.
pub(crate) const SCOPED_EJECTION_MS: f64 = 1000.0;
/// Slowness against its kind from which a endpoint gets less: all gateways hear the same, and small differences
/// would send them all to the same few.
pub(crate) const CLEARLY_SLOW: f64 = 1.6;
/// An answer counts for so many times the usual at most: a few very slow endpoints must not make all look slow.
pub(crate) const MAX_RESPONSE_SAMPLE: f64 = 2.5;
/// Weight of each sight of a class at a endpoint, and the part of bad ones from which it is left alone.
pub(crate) const CLASS_FAILURE_GAIN: f64 = 0.3;
pub(crate) const MAX_CLASS_FAILURE_FRACTION: f64 = 0.5;

/// Span over which a endpoint's send rate is smoothed.
pub(crate) const SEND_RATE_SPAN_S: f64 = 3.0;
