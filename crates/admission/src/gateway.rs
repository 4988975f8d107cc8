//! The gateway: the list of the parts that own its state.
//!
//! `startup` makes one, `event_handling` takes its events in; what is decided lies in `policy`.
use crate::mechanism::splitmix64::SplitMix64;
use crate::mechanism::virtual_finish_queue::VirtualFinishQueue;
use crate::settings::Settings;
use crate::state::{
    Coordination, CustomerTable, EndpointTable, EventClock, FleetMeans, InFlightBand, LatencyModel,
    OutlierDetectionState, RecentObservations, RequestTable, RetryBudget, WarmSendRates,
};

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
    pub(crate) outliers: OutlierDetectionState,
    /// What warming endpoints may be sent goes by.
    pub(crate) warm_send_rates: WarmSendRates,
    /// Tokens for further attempts.
    pub(crate) retries: RetryBudget,
    /// Means over the gateways of a large fleet.
    pub(crate) fleet_means: FleetMeans,
    /// Own observations of endpoints that the next messages carry.
    pub(crate) recent_observations: RecentObservations,
}
