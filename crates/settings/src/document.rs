//! The settings object as it is written. The document's keys are mapped to our names here only: fields have
//! ours, and serde renames carry the keys.

use serde::Deserialize;

/// The settings object, parsed but not yet checked.
#[derive(Debug, Deserialize)]
pub struct SettingsDocument {
    #[serde(rename = "balancers")]
    pub(crate) gateways: usize,
    /// This gateway's number among the fleet's, from 0.
    #[serde(rename = "me")]
    pub(crate) gateway_number: usize,
    #[serde(rename = "tickMs")]
    pub(crate) tick_ms: f64,
    pub(crate) zone: String,
    pub(crate) zones: Vec<String>,
    #[serde(rename = "shapes")]
    pub(crate) machine_kinds: Vec<String>,
    #[serde(rename = "classes")]
    pub(crate) request_classes: Vec<RequestClassSection>,
    #[serde(rename = "tiersOfService")]
    pub(crate) plans: Vec<PlanSection>,
    #[serde(rename = "ceilings")]
    pub(crate) site_limits: SiteLimitsSection,
    /// Read by gateways with real sockets only: the simulator's lists need no settings.
    #[serde(default)]
    pub(crate) discovery: Option<String>,
    #[serde(rename = "familyInfo")]
    pub(crate) service_family: ServiceFamilySection,
    #[serde(rename = "rules")]
    pub(crate) endpoint_rules: EndpointRulesSection,
}

/// One element of `classes`: a class of requests.
#[derive(Debug, Deserialize)]
pub(crate) struct RequestClassSection {
    pub(crate) name: String,
    #[serde(rename = "deadlineMs")]
    pub(crate) deadline_ms: f64,
    #[serde(rename = "objectiveMs")]
    pub(crate) latency_objective_ms: f64,
    #[serde(rename = "worth")]
    pub(crate) priority_weight: f64,
    #[serde(rename = "lateShare")]
    pub(crate) late_value_fraction: f64,
    #[serde(rename = "repeat")]
    pub(crate) idempotency: String,
    /// Required for `by_key` classes, ignored for the others; so is `windowMs`.
    #[serde(rename = "dedupScope", default)]
    pub(crate) dedup_group: Option<String>,
    #[serde(rename = "windowMs", default)]
    pub(crate) dedup_window_ms: Option<f64>,
}

/// One element of `tiersOfService`: a plan that customers buy.
#[derive(Debug, Deserialize)]
pub(crate) struct PlanSection {
    pub(crate) name: String,
    #[serde(rename = "refill")]
    pub(crate) rate_per_second: f64,
    #[serde(rename = "peakUnits")]
    pub(crate) burst_units: f64,
    #[serde(rename = "open")]
    pub(crate) open_limit: u32,
    #[serde(rename = "valueFactor")]
    pub(crate) plan_weight: f64,
    #[serde(rename = "overWorth")]
    pub(crate) over_quota_value: f64,
    #[serde(rename = "beyondCosts")]
    pub(crate) over_quota_cost: f64,
    #[serde(rename = "neverOverRate")]
    pub(crate) ceiling_rate_per_second: f64,
    #[serde(rename = "capDepth")]
    pub(crate) ceiling_burst_units: f64,
    #[serde(rename = "hardSlack")]
    pub(crate) ceiling_slack_units: f64,
}

/// `ceilings`: what the site permits.
#[derive(Debug, Deserialize)]
pub(crate) struct SiteLimitsSection {
    #[serde(rename = "cancel")]
    pub(crate) cancel_allowed: bool,
    /// Required on real sockets only. So is `connectTimeoutMs`.
    #[serde(rename = "connIdleMs", default)]
    pub(crate) idle_connection_timeout_ms: Option<f64>,
    #[serde(rename = "connectTimeoutMs", default)]
    pub(crate) connect_timeout_ms: Option<f64>,
    #[serde(rename = "maxAttempts")]
    pub(crate) max_attempts: u32,
    #[serde(rename = "maxRetryAfterMs")]
    pub(crate) max_retry_after_ms: f64,
    #[serde(rename = "peerMessages")]
    pub(crate) peer_messages_allowed: bool,
    #[serde(rename = "retryAfter", default)]
    pub(crate) retry_after_enabled: bool,
    #[serde(rename = "secondCopies")]
    pub(crate) hedging_allowed: bool,
}

/// `familyInfo`: facts about the kind of service behind the gateways.
#[derive(Debug, Deserialize)]
pub(crate) struct ServiceFamilySection {
    #[serde(rename = "mayCount", default)]
    pub(crate) counter_allowed: bool,
    /// Required on real sockets where the counter may be called.
    #[serde(rename = "countLimitMs", default)]
    pub(crate) counter_timeout_ms: Option<f64>,
    #[serde(rename = "mostUnits")]
    pub(crate) max_units: f64,
    #[serde(rename = "peerInPerS")]
    pub(crate) peer_messages_per_second: f64,
}

/// `rules`: how endpoints drain, warm up and become overloaded.
#[derive(Debug, Deserialize)]
pub(crate) struct EndpointRulesSection {
    #[serde(rename = "coldShare")]
    pub(crate) cold_start_fraction: f64,
    #[serde(rename = "fallMultiple")]
    pub(crate) overload_multiple: f64,
    #[serde(rename = "stopSendingWithinMs")]
    pub(crate) drain_grace_ms: f64,
    #[serde(rename = "tipAfterMs")]
    pub(crate) overload_window_ms: f64,
    #[serde(rename = "warmUpMs")]
    pub(crate) warm_up_ms: f64,
}
