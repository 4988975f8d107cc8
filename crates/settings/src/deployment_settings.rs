//! The settings of connections, discovery and responses, which only the deployed gateway needs.

use crate::document::SettingsDocument;
use crate::error::SettingsDocumentError;

/// The settings of connections, discovery and responses, which the simulator does not need. Times are in
/// milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DeploymentSettings {
    /// How long a connection may be idle before the endpoint closes it (`connIdleMs`).
    pub idle_connection_timeout_ms: f64,
    /// How long establishing a connection may take (`connectTimeoutMs`).
    pub connect_timeout_ms: f64,
    /// Whether rejections carry `Retry-After` (`retryAfter`).
    pub retry_after_enabled: bool,
    /// How long a call to the quota counter may take; 0 if the counter may not be called (`countLimitMs`).
    pub counter_timeout_ms: f64,
    /// How the endpoint list reaches the gateway (`discovery`).
    pub discovery_mode: DiscoveryMode,
    /// The time within which the gateway must stop sending to an endpoint once it was notified that the
    /// endpoint is draining or gone (`stopSendingWithinMs`).
    pub drain_grace_ms: f64,
}

/// The way in which the endpoint list reaches a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery pushes the list to an agent on the gateway's own machine, and the gateway receives it from
    /// there by long polling. Calls to the agent cost nothing and are not queued, and the gateway counts as
    /// notified of a change as soon as the agent has it.
    Pushed,
    /// The gateway receives the list by long polling from one service that all gateways call and that queues
    /// their calls.
    Polled,
}

impl DiscoveryMode {
    /// Parses the value of `discovery`.
    fn parse(value: Option<&str>) -> Result<Self, SettingsDocumentError> {
        match value {
            Some("pushed") => Ok(Self::Pushed),
            Some("on_request") => Ok(Self::Polled),
            other => Err(SettingsDocumentError::UnknownDiscoveryMode { value: other.map(str::to_owned) }),
        }
    }
}

impl SettingsDocument {
    /// Returns the settings that only the deployed gateway needs.
    ///
    /// # Errors
    ///
    /// Fails if a value is absent or out of range, or if the discovery mode is unknown.
    pub fn deployment_settings(&self) -> Result<DeploymentSettings, SettingsDocumentError> {
        let limits = &self.deployment_limits;
        Ok(DeploymentSettings {
            idle_connection_timeout_ms: require_positive("connIdleMs", limits.idle_connection_timeout_ms)?,
            connect_timeout_ms: require_positive("connectTimeoutMs", limits.connect_timeout_ms)?,
            retry_after_enabled: limits.retry_after_enabled,
            discovery_mode: DiscoveryMode::parse(self.discovery.as_deref())?,
            counter_timeout_ms: self.counter_timeout_ms()?,
            drain_grace_ms: require_not_negative("stopSendingWithinMs", self.endpoint_rules.drain_grace_ms)?,
        })
    }

    /// Returns the timeout of calls to the quota counter in milliseconds, or 0 if it may not be called.
    fn counter_timeout_ms(&self) -> Result<f64, SettingsDocumentError> {
        if self.service_family.counter_allowed {
            require_positive("countLimitMs", self.service_family.counter_timeout_ms)
        } else {
            Ok(0.0)
        }
    }
}

/// Returns `value`, or an error that names `key` if the value is negative.
fn require_not_negative(key: &'static str, value: f64) -> Result<f64, SettingsDocumentError> {
    if value >= 0.0 {
        Ok(value)
    } else {
        Err(SettingsDocumentError::Negative { key, value: value.to_string() })
    }
}

/// Returns `value`, or an error that names `key` if the value is absent, not above 0 or not finite.
fn require_positive(key: &'static str, value: Option<f64>) -> Result<f64, SettingsDocumentError> {
    value.filter(|value| value.is_finite() && *value > 0.0).ok_or_else(|| {
        let value = value.map(|value| value.to_string());
        SettingsDocumentError::NotPositive { key, value }
    })
}
