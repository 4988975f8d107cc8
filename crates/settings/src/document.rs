//! The settings object as it is written. The document's keys are mapped to our names here only: fields have
//! ours, and serde renames carry the keys.

use serde::Deserialize;

/// The settings object, parsed but not yet checked.
#[derive(Debug, Deserialize)]
pub struct SettingsDocument {
    /// The number of gateways of the fleet.
    #[serde(rename = "balancers")]
    pub(crate) gateways: usize,
    /// This gateway's number among the fleet's, from 0.
    #[serde(rename = "me")]
    pub(crate) gateway_number: usize,
    /// Shortest time between two rounds of events, in milliseconds.
    #[serde(rename = "tickMs")]
    pub(crate) tick_ms: f64,
    /// The name of this gateway's zone.
    pub(crate) zone: String,
    /// The names of all zones.
    pub(crate) zones: Vec<String>,
    /// The names of all kinds of endpoints' machines.
    #[serde(rename = "shapes")]
    pub(crate) machine_kinds: Vec<String>,
    /// The classes of requests.
    #[serde(rename = "classes")]
    pub(crate) request_classes: Vec<RequestClassSection>,
    /// The plans that customers buy.
    #[serde(rename = "tiersOfService")]
    pub(crate) plans: Vec<PlanSection>,
    /// What the site permits.
    #[serde(rename = "ceilings")]
    pub(crate) site_limits: SiteLimitsSection,
    /// Read by gateways with real sockets only: the simulator's lists need no settings.
    #[serde(default)]
    pub(crate) discovery: Option<String>,
    /// Facts about the kind of service.
    #[serde(rename = "familyInfo")]
    pub(crate) service_family: ServiceFamilySection,
    /// How endpoints drain, warm up and become overloaded.
    #[serde(rename = "rules")]
    pub(crate) endpoint_rules: EndpointRulesSection,
}

/// One element of `classes`: a class of requests.
#[derive(Debug, Deserialize)]
pub(crate) struct RequestClassSection {
    /// The name in `X-Call-Class`.
    pub(crate) name: String,
    /// The client's longest wait, in milliseconds.
    #[serde(rename = "deadlineMs")]
    pub(crate) deadline_ms: f64,
    /// A response within this time has its full value, in milliseconds.
    #[serde(rename = "objectiveMs")]
    pub(crate) latency_objective_ms: f64,
    /// Value of a request relative to that of other classes.
    #[serde(rename = "worth")]
    pub(crate) priority_weight: f64,
    /// `repeatable`, `by_key` or `once`: whether a retry may do harm.
    #[serde(rename = "repeat")]
    pub(crate) idempotency: String,
    /// Required for `by_key` classes, ignored for the others; so is `windowMs`.
    #[serde(rename = "dedupScope", default)]
    pub(crate) dedup_group: Option<String>,
    /// How long endpoints remember an idempotency key, in milliseconds.
    #[serde(rename = "windowMs", default)]
    pub(crate) dedup_window_ms: Option<f64>,
}

/// One element of `tiersOfService`: a plan that customers buy.
#[derive(Debug, Deserialize)]
pub(crate) struct PlanSection {
    /// The name in `X-Contract`.
    pub(crate) name: String,
    /// Units per second at which a customer's bucket fills; 0: no quota.
    #[serde(rename = "refill")]
    pub(crate) rate_per_second: f64,
    /// Capacity of the bucket, in units.
    #[serde(rename = "peakUnits")]
    pub(crate) burst_units: f64,
    /// Attempts that a customer may have in flight; 0: no limit.
    #[serde(rename = "open")]
    pub(crate) concurrency_limit: u32,
    /// Factor on the value of a customer's requests.
    #[serde(rename = "valueFactor")]
    pub(crate) plan_weight: f64,
    /// Fraction of its value that a request beyond the quota has.
    #[serde(rename = "overWorth")]
    pub(crate) over_quota_value: f64,
    /// Fraction of its value that an attempt beyond the quota costs.
    #[serde(rename = "beyondCosts")]
    pub(crate) over_quota_cost: f64,
    /// Units per second at which the hard ceiling's bucket fills; 0: no ceiling.
    #[serde(rename = "neverOverRate")]
    pub(crate) ceiling_rate_per_second: f64,
    /// Capacity of the ceiling's bucket, in units.
    #[serde(rename = "capDepth")]
    pub(crate) ceiling_burst_units: f64,
}

/// `ceilings`: what the site permits.
#[derive(Debug, Deserialize)]
pub(crate) struct SiteLimitsSection {
    /// Whether attempts may be cancelled.
    #[serde(rename = "cancel")]
    pub(crate) cancel_allowed: bool,
    /// Required on real sockets only. So is `connectTimeoutMs`.
    #[serde(rename = "connIdleMs", default)]
    pub(crate) idle_connection_timeout_ms: Option<f64>,
    /// How long a connection to an endpoint may take to come up, in milliseconds.
    #[serde(rename = "connectTimeoutMs", default)]
    pub(crate) connect_timeout_ms: Option<f64>,
    /// The most attempts that a request may have.
    #[serde(rename = "maxAttempts")]
    pub(crate) max_attempts: u32,
    /// The longest `Retry-After` that clients honour, in milliseconds; 0: none.
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

/// `familyInfo`: facts about the kind of service behind the gateways.
#[derive(Debug, Deserialize)]
pub(crate) struct ServiceFamilySection {
    /// Whether the quota counter may be called.
    #[serde(rename = "mayCount", default)]
    pub(crate) counter_allowed: bool,
    /// Required on real sockets where the counter may be called.
    #[serde(rename = "countLimitMs", default)]
    pub(crate) counter_timeout_ms: Option<f64>,
    /// The most units that one request takes from its quota.
    #[serde(rename = "mostUnits")]
    pub(crate) max_units: f64,
    /// Messages per second that a gateway accepts from its peers.
    #[serde(rename = "peerInPerS")]
    pub(crate) peer_messages_per_second: f64,
}

/// `rules`: how endpoints drain, warm up and become overloaded.
#[derive(Debug, Deserialize)]
pub(crate) struct EndpointRulesSection {
    /// Least fraction of its capacity that an endpoint has at its start.
    #[serde(rename = "coldShare")]
    pub(crate) cold_start_fraction: f64,
    /// A warming endpoint that is sent more than this multiple of its present capacity becomes overloaded.
    #[serde(rename = "fallMultiple")]
    pub(crate) overload_multiple: f64,
    /// Sends must stop this long after an endpoint is reported as draining or gone, in milliseconds.
    #[serde(rename = "stopSendingWithinMs")]
    pub(crate) drain_grace_ms: f64,
    /// How long that must last, in milliseconds.
    #[serde(rename = "tipAfterMs")]
    pub(crate) overload_window_ms: f64,
    /// An endpoint is warm this long after its start at the latest, in milliseconds.
    #[serde(rename = "warmUpMs")]
    pub(crate) warm_up_ms: f64,
}
