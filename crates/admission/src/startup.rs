//! Creates a gateway from its settings.
use crate::gateway::Gateway;
use crate::mechanism::splitmix64::{mix, SplitMix64};
use crate::messages::counts_message::incarnation;
use crate::policy::band::dispatch_credit::INITIAL_DISPATCH_CREDIT;
use crate::policy::coordination_choice::{choose_coordination_mode, CoordinationMode, CoordinationModeInput};
use crate::policy::peer_messages::quota_message_budget::INITIAL_MESSAGE_TOKENS;
use crate::policy::response_time::{
    INITIAL_OBJECTIVE_FRACTION, LATENCY_FLOORS, LATENCY_GAINS, RESPONSE_TIME_HALF_LIFE_MS,
};
use crate::policy::retry::INITIAL_RETRY_TOKENS;
use crate::policy::slow_start::SEND_RATE_TIME_CONSTANT_S;
use crate::settings::{Settings, SettingsError};
use crate::state::{
    Broadcast, Coordination, CounterCalls, EndpointSmoothing, EndpointTable, EventClock, Gossip,
    InFlightBand, LatencyModel, RetryBudget,
};

impl Gateway {
    /// Creates a gateway that knows nothing but its settings.
    ///
    /// `seed` determines every random decision and the gateway's incarnation. Each start of a gateway needs
    /// another seed: in broadcast mode, peers take the messages of a gateway that restarted with the same
    /// incarnation for old ones and ignore them.
    ///
    /// `now_ms` and the times of events are in milliseconds from the same origin. If the gateways enforce
    /// quotas through the quota counter, all gateways need the same origin, because it determines the names
    /// of the counts. Otherwise each gateway may have its own.
    ///
    /// # Errors
    ///
    /// Returns an error if a setting is missing or out of range.
    pub fn new(settings: Settings, seed: u64, now_ms: f64) -> Result<Self, SettingsError> {
        settings.check()?;
        let objectives_ms = settings.classes.iter().map(|class| class.latency_objective_ms);
        let mut gateway = Gateway {
            clock: EventClock::new(now_ms),
            incarnation: incarnation(mix(seed)),
            random: SplitMix64::new(seed),
            endpoints: EndpointTable::new(EndpointSmoothing {
                response_time_half_life_ms: RESPONSE_TIME_HALF_LIFE_MS,
                send_rate_time_constant_s: SEND_RATE_TIME_CONSTANT_S,
            }),
            latency: LatencyModel::new(
                objectives_ms,
                INITIAL_OBJECTIVE_FRACTION,
                LATENCY_GAINS,
                LATENCY_FLOORS,
            ),
            retry_budget: RetryBudget::new(INITIAL_RETRY_TOKENS),
            coordination: new_coordination(&settings),
            settings,
            ..Gateway::default()
        };
        gateway.band = InFlightBand::new(gateway.watermark_floor(), INITIAL_DISPATCH_CREDIT);
        Ok(gateway)
    }
}

/// Returns the initial state of the way in which gateways with these settings coordinate. All gateways of a
/// fleet choose the same way.
fn new_coordination(settings: &Settings) -> Coordination {
    let mode = choose_coordination_mode(CoordinationModeInput {
        gateways: settings.gateways,
        peer_messages_allowed: settings.peer_messages_allowed,
        peer_messages_per_second: settings.peer_messages_per_second,
        counter_allowed: settings.counter_allowed,
    });
    match mode {
        CoordinationMode::Broadcast => Coordination::Broadcast(Broadcast::new(settings)),
        CoordinationMode::Gossip => Coordination::Gossip(Gossip::new(settings, INITIAL_MESSAGE_TOKENS)),
        CoordinationMode::Counter => Coordination::Counter(CounterCalls::new()),
        CoordinationMode::Isolated => Coordination::Isolated,
    }
}
