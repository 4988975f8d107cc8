//! The state of a gateway, grouped by subject: endpoints, fleet, quotas and requests. Each type has the
//! methods that keep its fields consistent.
mod endpoint;
mod event_clock;
mod fleet;
mod quota;
mod request;

pub(crate) use endpoint::{
    EjectionScope, Endpoint, EndpointHealth, EndpointSmoothing, EndpointTable, InFlightAttempt,
    LatencyFloors, LatencyGains, LatencyModel, ObservedHealth, OutlierDetectionState, RecentObservations,
    RelativeResponseTime, WarmSendRates, WarmUpBudget, WarmUpTokens,
};
pub(crate) use event_clock::EventClock;
pub(crate) use fleet::{
    peer_indices, BandLoad, BandPosition, Broadcast, BroadcastBand, BroadcastPeer, Coordination, FleetMeans,
    FleetMode, GatewayMeans, GatewaySet, Gossip, GossipPeer, InFlightBand, RankedGateway,
};
pub(crate) use quota::{
    CatchUp, CountedRequest, CounterCall, CounterCallQueue, CounterCalls, CounterEpoch, Customer,
    CustomerTable, LocalBucketCheck, PeerCount, PendingQuotaRequests, QuotaDecision, QuotaExpectation,
    QuotaGrants, QuotaRequestRecord, QuotaRoute, QuotaState, ReportedConsumption,
};
pub(crate) use request::{
    ActiveRequest, Attempt, AttemptId, InFlightAttemptWithClass, RequestTable, RetryBudget,
};
