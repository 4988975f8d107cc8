//! The gateway: takes an event and calls the parts in order.
use crate::action::Action;
use crate::coordination::gossip::Gossip;
use crate::coordination::Coordination;
use crate::event::Event;
use crate::mechanism::splitmix64::{mix, SplitMix64};
use crate::mechanism::virtual_finish_queue::VirtualFinishQueue;
use crate::policy::coordination::{MIN_REPORT_INTERVAL_MS, PEER_MESSAGE_FRACTION};
use crate::policy::in_flight_band::{
    GOSSIP_AGE_WEIGHT, GOSSIP_BAND_FACTOR, GOSSIP_LATENCY_EASE, INITIAL_WATERMARK, MAX_REFILL_FACTOR,
    MAX_WATERMARK, MAX_WATERMARK_RISE, MIN_REFILL_FACTOR, PROMPT_FRACTION, SATURATED_FILL, SLUGGISH_FRACTION,
    UNGATED_FILL, WATERMARK_STEP_OBJECTIVES,
};
use crate::policy::outlier_detection::{INITIAL_OBJECTIVE_FRACTION, LATENCY_GAINS};
use crate::policy::quota_owner::{
    MIN_QUOTA_MESSAGE_FRACTION, MIN_RESPONSE_WAIT_MS, QUOTA_MESSAGE_FRACTION, QUOTA_RATE_SPAN_S,
    RESPONSE_WAIT_FRACTION, SUSPECT_MS,
};
use crate::policy::retry::MAX_RETRY_TOKENS;
use crate::settings::{Settings, SettingsError};
use crate::state::band::InFlightBand;
use crate::state::customer::{CustomerTable, QuotaCounter, QuotaOwner};
use crate::state::endpoint_table::EndpointTable;
use crate::state::latency_model::LatencyModel;
use crate::state::outlier_detector::OutlierDetector;
use crate::state::peer::{Peer, PeerTable};
use crate::state::request::{QuotaState, RequestTable, RetryBudget};
use crate::state::slow_start::SlowStart;
use std::collections::BTreeMap;

/// One gateway's decisions: takes events in and answers with actions. Each part owns the state of one
/// concern.
#[derive(Debug, Default)]
pub struct Gateway {
    pub(crate) settings: Settings,
    /// The way in which this fleet agrees on quotas and attempts in flight.
    pub(crate) coordination: Coordination,
    pub(crate) clock: EventClock,
    /// Tells this start of the gateway from earlier ones.
    pub(crate) incarnation: u32,
    pub(crate) random: SplitMix64,
    pub(crate) endpoints: EndpointTable,
    pub(crate) requests: RequestTable,
    pub(crate) customers: CustomerTable,
    pub(crate) queue: VirtualFinishQueue,
    pub(crate) band: InFlightBand,
    pub(crate) latency: LatencyModel,
    pub(crate) outliers: OutlierDetector,
    pub(crate) slow_start: SlowStart,
    pub(crate) retries: RetryBudget,
    pub(crate) peers: PeerTable,
    pub(crate) gossip: Gossip,
    pub(crate) quota_owner: QuotaOwner,
    pub(crate) quota_counter: QuotaCounter,
}

/// The time of the event being handled, and when the next round of upkeep is due.
#[derive(Debug, Default)]
pub(crate) struct EventClock {
    pub(crate) now_ms: f64,
    pub(crate) started_ms: f64,
    pub(crate) next_tick_ms: f64,
    /// The first round of upkeep has been asked for.
    pub(crate) ticking: bool,
}

/// Time between two rounds of upkeep: short beside any aim, so that nothing is noticed late.
pub(crate) const UPKEEP_MS: f64 = 20.0;

/// A wide fleet's gateway looks at all endpoints this often, and at nothing more often while it has no
/// request.
pub(crate) const IDLE_UPKEEP_MS: f64 = 100.0;

impl Gateway {
    /// A gateway with no memory but its settings.
    pub fn new(settings: Settings, seed: u64, now_ms: f64) -> Result<Self, SettingsError> {
        settings.check()?;
        let peers: BTreeMap<usize, Peer> =
            (0..settings.gateways).filter(|p| *p != settings.me).map(|p| (p, Peer::unknown())).collect();
        let objectives_ms = settings.classes.iter().map(|class| class.latency_objective_ms);
        let mut gateway = Gateway {
            clock: EventClock { now_ms, started_ms: now_ms, ..EventClock::default() },
            incarnation: (mix(seed) & 0x3_ffff) as u32,
            random: SplitMix64::new(seed),
            band: InFlightBand {
                watermark: INITIAL_WATERMARK,
                dispatch_credit: 1.0,
                ..InFlightBand::default()
            },
            latency: LatencyModel::new(objectives_ms, INITIAL_OBJECTIVE_FRACTION, LATENCY_GAINS),
            retries: RetryBudget { tokens: MAX_RETRY_TOKENS / 2.0 },
            peers: PeerTable { by_index: peers, message_tokens: 10.0, ..PeerTable::default() },
            quota_counter: QuotaCounter { sampling_fraction: 1.0, ..QuotaCounter::default() },
            coordination: Coordination::from_settings(&settings),
            settings,
            ..Gateway::default()
        };
        if !gateway.coordination.is_broadcast() {
            gateway.band.watermark *= GOSSIP_BAND_FACTOR;
        }
        Ok(gateway)
    }

    /// Takes one event in and adds what is to be done to `actions`.
    pub fn on_event(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        self.clock.now_ms = self.clock.now_ms.max(now_ms);
        if !self.clock.ticking {
            self.clock.ticking = true;
            self.schedule_tick(UPKEEP_MS, actions);
        }
        match event {
            Event::EndpointList { kind, entries } => {
                self.endpoints.apply_list(kind, entries, self.clock.now_ms, &mut self.random)
            }
            Event::Request(request) => self.on_request(request, actions),
            Event::Timer { .. }
                if self.coordination.is_broadcast() || self.clock.now_ms >= self.clock.next_tick_ms - 0.5 =>
            {
                self.upkeep(actions)
            }
            Event::Timer { .. } => {}
            Event::AttemptEnded(end) => self.on_attempt_end(&end, actions),
            Event::ClientGone { request } => self.close(request, actions),
            Event::PeerMessage { from, body } if !self.coordination.is_broadcast() => {
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

    /// Asks for the next round of upkeep.
    pub(crate) fn schedule_tick(&mut self, ms: f64, actions: &mut Vec<Action>) {
        self.clock.next_tick_ms = self.clock.now_ms + ms;
        actions.push(Action::SetTimer { at_ms: self.clock.next_tick_ms, token: 0 });
    }

    pub(crate) fn upkeep(&mut self, actions: &mut Vec<Action>) {
        let wide = !self.coordination.is_broadcast();
        self.schedule_tick(
            if wide && self.requests.active.is_empty() { IDLE_UPKEEP_MS } else { UPKEEP_MS },
            actions,
        );
        if !wide || self.clock.now_ms - self.gossip.measured_ms >= IDLE_UPKEEP_MS {
            if !wide {
                self.update_typical_age();
            }
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
            let part = self.latency.objective_fraction().max(told * self.latency.typical_age_ms() / aim);
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
            && peers > 0.0
            && self.coordination.is_broadcast()
        {
            self.peers.reported_ms = self.clock.now_ms;
            self.broadcast_counts(actions);
        }
        if self.clock.now_ms - self.customers.evicted_ms >= 1000.0 {
            self.customers.evicted_ms = self.clock.now_ms;
            self.evict_idle_customers();
        }
    }

    /// Upkeep of a wide fleet's gateway.
    pub(crate) fn gossip_upkeep(&mut self, actions: &mut Vec<Action>) {
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
            if let Some(QuotaState::AwaitingOwner { keeper, at_ms, tries, .. }) =
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
}
