//! The gateway: takes an event and calls the parts in order.
use crate::action::Action;
use crate::coordination::Coordination;
use crate::event::Event;
use crate::mechanism::splitmix64::{mix, SplitMix64};
use crate::mechanism::virtual_finish_queue::VirtualFinishQueue;
use crate::policy::in_flight_band::INITIAL_DISPATCH_CREDIT;
use crate::policy::outlier_detection::{
    INITIAL_OBJECTIVE_FRACTION, LATENCY_GAINS, RESPONSE_TIME_HALF_LIFE_MS,
};
use crate::policy::retry::INITIAL_RETRY_TOKENS;
use crate::policy::slow_start::SEND_RATE_SPAN_S;
use crate::policy::upkeep::UPKEEP_MS;
use crate::settings::{Settings, SettingsError};
use crate::state::band::InFlightBand;
use crate::state::customer_table::CustomerTable;
use crate::state::endpoint::EndpointSmoothing;
use crate::state::endpoint_table::EndpointTable;
use crate::state::event_clock::EventClock;
use crate::state::fleet_means::FleetMeans;
use crate::state::latency_model::LatencyModel;
use crate::state::outlier_detector::OutlierDetector;
use crate::state::recent_observations::RecentObservations;
use crate::state::request::RequestTable;
use crate::state::retry_budget::RetryBudget;
use crate::state::slow_start::SlowStart;

/// One gateway's decisions: takes events in and answers with actions. Each part owns the state of one
/// concern.
#[derive(Debug, Default)]
pub struct Gateway {
    /// What it was started with.
    pub(crate) settings: Settings,
    /// The way in which this fleet agrees on quotas and attempts in flight.
    pub(crate) coordination: Coordination,
    /// The time of the event being handled.
    pub(crate) clock: EventClock,
    /// Tells this start of the gateway from earlier ones.
    pub(crate) incarnation: u32,
    /// What is drawn by chance.
    pub(crate) random: SplitMix64,
    /// The endpoints of the list.
    pub(crate) endpoints: EndpointTable,
    /// Requests in work.
    pub(crate) requests: RequestTable,
    /// Customers and their quotas.
    pub(crate) customers: CustomerTable,
    /// Requests that wait to be sent.
    pub(crate) queue: VirtualFinishQueue,
    /// How much may be in flight.
    pub(crate) band: InFlightBand,
    /// Learned response times.
    pub(crate) latency: LatencyModel,
    /// Failures beyond single endpoints.
    pub(crate) outliers: OutlierDetector,
    /// What warming endpoints may be sent goes by.
    pub(crate) slow_start: SlowStart,
    /// Tokens for further attempts.
    pub(crate) retries: RetryBudget,
    /// Means over the gateways of a large fleet.
    pub(crate) fleet_means: FleetMeans,
    /// Own observations of endpoints that the next messages carry.
    pub(crate) recent_observations: RecentObservations,
}

/// Bits of the incarnation: as many as three digits of a message carry.
const INCARNATION_MASK: u64 = 0x3_ffff;

impl Gateway {
    /// A gateway that knows nothing but its settings. `seed` decides all that is left to chance; times are in
    /// milliseconds, of any origin.
    ///
    /// # Errors
    ///
    /// Where the settings hold a figure that a gateway cannot act on.
    pub fn new(settings: Settings, seed: u64, now_ms: f64) -> Result<Self, SettingsError> {
        settings.check()?;
        let objectives_ms = settings.classes.iter().map(|class| class.latency_objective_ms);
        let mut gateway = Gateway {
            clock: EventClock::new(now_ms),
            incarnation: (mix(seed) & INCARNATION_MASK) as u32,
            random: SplitMix64::new(seed),
            endpoints: EndpointTable::new(EndpointSmoothing {
                response_time_half_life_ms: RESPONSE_TIME_HALF_LIFE_MS,
                send_rate_span_s: SEND_RATE_SPAN_S,
            }),
            latency: LatencyModel::new(objectives_ms, INITIAL_OBJECTIVE_FRACTION, LATENCY_GAINS),
            retries: RetryBudget::new(INITIAL_RETRY_TOKENS),
            coordination: Coordination::from_settings(&settings),
            settings,
            ..Gateway::default()
        };
        gateway.band = InFlightBand::new(gateway.watermark_floor(), INITIAL_DISPATCH_CREDIT);
        Ok(gateway)
    }

    /// Takes one event in and adds what is to be done, in this order, to `actions`. Times must not fall from
    /// event to event; an earlier one counts as the last.
    pub fn on_event(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        self.clock.advance(now_ms);
        if self.clock.start_ticking() {
            self.schedule_tick(UPKEEP_MS, actions);
        }
        self.handle(event, actions);
        self.dispatch(actions);
        if !self.requests.is_empty() && self.clock.next_tick_is_beyond(UPKEEP_MS) {
            self.schedule_tick(UPKEEP_MS, actions);
        }
    }

    /// Gives an event to the part that it concerns.
    fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        let broadcast = self.coordination.is_broadcast();
        match event {
            Event::EndpointList { kind, entries } => {
                self.endpoints.apply_list(kind, entries, self.clock.now_ms(), &mut self.random)
            }
            Event::Request(request) => self.on_request(request, actions),
            Event::Timer { .. } if broadcast || self.clock.tick_is_due() => self.upkeep(actions),
            Event::Timer { .. } => {}
            Event::AttemptEnded(end) => self.on_attempt_end(&end, actions),
            Event::ClientGone { request } => self.close(request, actions),
            Event::PeerMessage { from, body } if broadcast => self.on_counts_message(from, &body),
            Event::PeerMessage { from, body } => self.on_gossip_message(from, &body, actions),
            Event::CounterReply { name, outcome, .. } => self.on_counter_reply(name, outcome, actions),
            Event::StreamOpened { .. } | Event::ProbeDone { .. } => {}
        }
    }

    /// Asks for the next round of upkeep.
    fn schedule_tick(&mut self, after_ms: f64, actions: &mut Vec<Action>) {
        let at_ms = self.clock.schedule_tick(after_ms);
        actions.push(Action::SetTimer { at_ms, token: 0 });
    }

    /// A round of upkeep: what time alone brings about.
    fn upkeep(&mut self, actions: &mut Vec<Action>) {
        let broadcast = self.coordination.is_broadcast();
        self.schedule_tick(self.upkeep_interval_ms(), actions);
        if broadcast {
            self.update_typical_age();
            self.detect_correlated_failure();
            self.refill_warm_up_tokens();
        } else if self.review_is_due() {
            self.detect_correlated_failure();
        }
        self.measure_saturation();
        self.finish_overdue_requests(actions);
        self.rescue_stalled(actions);
        if !broadcast {
            self.large_fleet_upkeep(actions);
        }
        self.step_watermark();
        self.broadcast_counts_if_due(actions);
        self.evict_idle_customers_if_due();
    }

    /// The part of upkeep that only a large fleet's gateway has.
    fn large_fleet_upkeep(&mut self, actions: &mut Vec<Action>) {
        if self.review_is_due() {
            self.update_means();
        }
        let seconds = self.band.begin_refill(self.clock.now_ms());
        self.refill_dispatch_credit(seconds);
        self.refill_message_tokens(seconds);
        self.retry_quota_requests(actions);
    }

    /// Forgets idle customers from time to time.
    fn evict_idle_customers_if_due(&mut self) {
        if self.eviction_is_due() {
            self.evict_idle_customers();
        }
    }
}
