//! The settings object as it is written in JSON.
//!
//! Only this file maps the document's keys to fields: a field has the name that the rest of the program uses,
//! and its serde attribute has the key if that differs.

use serde::Deserialize;

/// The settings object, parsed but not yet checked.
#[derive(Debug, Deserialize)]
pub struct SettingsDocument {
    /// The number of gateways in the fleet.
    #[serde(rename = "balancers")]
    pub(crate) gateways: usize,
    /// The number of this gateway in the fleet, counted from 0.
    #[serde(rename = "me")]
    pub(crate) this_gateway: usize,
    /// The length of a tick, in milliseconds: the simulator delivers events in rounds that are at least this
    /// far apart. A deployed gateway handles each event when it occurs; there, as in the simulator, the
    /// admission library takes the margins that it keeps before deadlines and the ends of key windows in
    /// ticks.
    #[serde(rename = "tickMs")]
    pub(crate) tick_ms: f64,
    /// The name of this gateway's zone.
    pub(crate) zone: String,
    /// The names of all zones.
    pub(crate) zones: Vec<String>,
    /// The names of all kinds of machines that endpoints run on.
    #[serde(rename = "shapes")]
    pub(crate) machine_kinds: Vec<String>,
    /// The request classes.
    #[serde(rename = "classes")]
    pub(crate) request_classes: Vec<RequestClassSection>,
    /// The plans that customers buy.
    #[serde(rename = "tiersOfService")]
    pub(crate) plans: Vec<PlanSection>,
    /// Limits on what the deployment allows gateways to do.
    #[serde(rename = "ceilings")]
    pub(crate) deployment_limits: DeploymentLimitsSection,
    /// How the endpoint list reaches a deployed gateway: `pushed` or `on_request`. The simulator adapter
    /// ignores it, because the simulator sends the lists itself.
    #[serde(default)]
    pub(crate) discovery: Option<String>,
    /// Properties of the kind of service behind the gateways.
    #[serde(rename = "familyInfo")]
    pub(crate) service_family: ServiceFamilySection,
    /// The rules by which endpoints drain, warm up and become overloaded.
    #[serde(rename = "rules")]
    pub(crate) endpoint_rules: EndpointRulesSection,
}

/// An element of `classes`: a request class.
#[derive(Debug, Deserialize)]
pub(crate) struct RequestClassSection {
    /// The name by which `X-Call-Class` refers to the class.
    pub(crate) name: String,
    /// How long a client waits for its response at most, in milliseconds.
    #[serde(rename = "deadlineMs")]
    pub(crate) deadline_ms: f64,
    /// The latency objective in milliseconds: a response within this time has its full value.
    #[serde(rename = "objectiveMs")]
    pub(crate) latency_objective_ms: f64,
    /// The value of a request relative to that of other classes.
    #[serde(rename = "worth")]
    pub(crate) priority_weight: f64,
    /// Whether running a request twice does harm: `repeatable` (no), `once` (yes) or `by_key` (endpoints
    /// recognize its idempotency key and do not run it again).
    #[serde(rename = "repeat")]
    pub(crate) idempotency: String,
    /// The endpoints that share their memory of idempotency keys: `all`, `zone` or `cell`. Required if
    /// `repeat` is `by_key`, ignored otherwise.
    #[serde(rename = "dedupScope", default)]
    pub(crate) dedup_group: Option<String>,
    /// How long endpoints remember an idempotency key after its first use, in milliseconds. Required if
    /// `repeat` is `by_key`, ignored otherwise.
    #[serde(rename = "windowMs", default)]
    pub(crate) dedup_window_ms: Option<f64>,
}

/// An element of `tiersOfService`: a plan that customers buy.
#[derive(Debug, Deserialize)]
pub(crate) struct PlanSection {
    /// The name by which `X-Contract` refers to the plan.
    pub(crate) name: String,
    /// Quota: the rate at which a customer's token bucket fills, in units per second. 0 means no quota.
    #[serde(rename = "refill")]
    pub(crate) rate_per_second: f64,
    /// The capacity of the quota's token bucket, in units.
    #[serde(rename = "peakUnits")]
    pub(crate) burst_units: f64,
    /// The number of attempts that a customer may have in flight over all gateways. 0 means no limit.
    #[serde(rename = "open")]
    pub(crate) concurrency_limit: u32,
    /// The factor by which the plan multiplies the value of its customers' requests.
    #[serde(rename = "valueFactor")]
    pub(crate) plan_weight: f64,
    /// The value of a request over the quota, as a fraction of the request's full value.
    #[serde(rename = "overWorth")]
    pub(crate) over_quota_value: f64,
    /// The cost of a request over the quota, as a fraction of the request's full value.
    #[serde(rename = "beyondCosts")]
    pub(crate) over_quota_cost: f64,
    /// Hard ceiling: the rate at which its token bucket fills, in units per second. 0 means no ceiling.
    #[serde(rename = "neverOverRate")]
    pub(crate) ceiling_rate_per_second: f64,
    /// The capacity of the hard ceiling's token bucket, in units.
    #[serde(rename = "capDepth")]
    pub(crate) ceiling_burst_units: f64,
}

/// The `ceilings` section: what the deployment allows gateways to do.
#[derive(Debug, Deserialize)]
pub(crate) struct DeploymentLimitsSection {
    /// Whether attempts may be cancelled.
    #[serde(rename = "cancel")]
    pub(crate) cancel_allowed: bool,
    /// How long a connection to an endpoint may be idle before the endpoint closes it, in milliseconds.
    /// Required by the deployed gateway only.
    #[serde(rename = "connIdleMs", default)]
    pub(crate) idle_connection_timeout_ms: Option<f64>,
    /// How long establishing a connection to an endpoint may take, in milliseconds. Required by the deployed
    /// gateway only.
    #[serde(rename = "connectTimeoutMs", default)]
    pub(crate) connect_timeout_ms: Option<f64>,
    /// The maximum number of attempts of a request.
    #[serde(rename = "maxAttempts")]
    pub(crate) max_attempts: u32,
    /// The longest `Retry-After` that clients honour, in milliseconds. 0 means that they honour none.
    #[serde(rename = "maxRetryAfterMs")]
    pub(crate) max_retry_after_ms: f64,
    /// Whether gateways may send each other messages.
    #[serde(rename = "peerMessages")]
    pub(crate) peer_messages_allowed: bool,
    /// Whether rejections carry `Retry-After`.
    #[serde(rename = "retryAfter", default)]
    pub(crate) retry_after_enabled: bool,
    /// Whether two attempts of a request may be in flight at once.
    #[serde(rename = "secondCopies")]
    pub(crate) hedging_allowed: bool,
}

/// The `familyInfo` section: properties of the kind of service behind the gateways.
#[derive(Debug, Deserialize)]
pub(crate) struct ServiceFamilySection {
    /// Whether the quota counter may be called.
    #[serde(rename = "mayCount", default)]
    pub(crate) counter_allowed: bool,
    /// How long a call to the quota counter may take, in milliseconds. Required by the deployed gateway if
    /// `mayCount` is true.
    #[serde(rename = "countLimitMs", default)]
    pub(crate) counter_timeout_ms: Option<f64>,
    /// The maximum number of units that one request takes from its customer's quota.
    #[serde(rename = "mostUnits")]
    pub(crate) max_units: f64,
    /// The number of messages per second that a gateway accepts from its peers.
    #[serde(rename = "peerInPerS")]
    pub(crate) peer_messages_per_second: f64,
}

/// The `rules` section: how endpoints drain, warm up and become overloaded.
#[derive(Debug, Deserialize)]
pub(crate) struct EndpointRulesSection {
    /// The minimum fraction of its full capacity that an endpoint has when it starts.
    #[serde(rename = "coldShare")]
    pub(crate) cold_start_fraction: f64,
    /// The multiple of its present capacity above which an endpoint that is warming up becomes overloaded,
    /// if it is sent that much throughout `tipAfterMs`.
    #[serde(rename = "fallMultiple")]
    pub(crate) overload_multiple: f64,
    /// The time within which gateways must stop sending to an endpoint that is reported as draining or gone,
    /// in milliseconds.
    #[serde(rename = "stopSendingWithinMs")]
    pub(crate) drain_grace_ms: f64,
    /// How long an endpoint must be sent more than `fallMultiple` times its capacity to become overloaded, in
    /// milliseconds.
    #[serde(rename = "tipAfterMs")]
    pub(crate) overload_window_ms: f64,
    /// The time after its start by which an endpoint is warm at the latest, in milliseconds.
    #[serde(rename = "warmUpMs")]
    pub(crate) warm_up_ms: f64,
}
