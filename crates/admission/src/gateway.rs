//! The gateway and the components that own its state.
//!
//! `startup` creates a gateway, `event_handling` handles its events, and `policy` makes its decisions.
use crate::mechanism::splitmix64::SplitMix64;
use crate::mechanism::virtual_finish_queue::VirtualFinishQueue;
use crate::settings::Settings;
use crate::state::{
    Coordination, CustomerTable, EndpointTable, EventClock, FleetMeans, InFlightBand, LatencyModel,
    OutlierDetectionState, RecentObservations, RequestTable, RetryBudget, WarmSendRates,
};

/// The decision logic of one gateway: it handles events and answers them with actions. Each field owns the
/// state of one concern.
#[derive(Debug, Default)]
pub struct Gateway {
    /// The settings that the gateway was started with.
    pub(crate) settings: Settings,
    /// The mode in which the fleet's gateways agree on quotas and attempts in flight, with its state.
    pub(crate) coordination: Coordination,
    /// The time of the event being handled, and when the next round of upkeep is due.
    pub(crate) clock: EventClock,
    /// A number that tells this start of the gateway from earlier ones.
    pub(crate) incarnation: u32,
    /// The generator of all random numbers.
    pub(crate) random: SplitMix64,
    /// The endpoints of the endpoint list.
    pub(crate) endpoints: EndpointTable,
    /// The active requests.
    pub(crate) requests: RequestTable,
    /// The customers and their quotas.
    pub(crate) customers: CustomerTable,
    /// The requests that wait to be sent.
    pub(crate) queue: VirtualFinishQueue,
    /// The in-flight band, which limits how many attempts may be in flight.
    pub(crate) band: InFlightBand,
    /// The response times learned so far.
    pub(crate) latency: LatencyModel,
    /// The state of outlier detection that concerns all endpoints together.
    pub(crate) outliers: OutlierDetectionState,
    /// The rates at which warm endpoints are sent attempts. The budgets of endpoints that are warming up
    /// depend on them.
    pub(crate) warm_send_rates: WarmSendRates,
    /// The tokens for retries.
    pub(crate) retry_budget: RetryBudget,
    /// Means over the gateways of a large fleet.
    pub(crate) fleet_means: FleetMeans,
    /// This gateway's own observations of endpoints, to be sent with the next messages.
    pub(crate) recent_observations: RecentObservations,
}
