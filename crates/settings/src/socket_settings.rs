//! The settings of connections, discovery and responses, which only a gateway with real sockets needs.

use crate::document::SettingsDocument;
use crate::error::SettingsDocumentError;

/// The settings of connections, discovery and responses. Times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SocketSettings {
    /// An endpoint closes a connection that has been idle for this long (`connIdleMs`).
    pub idle_connection_timeout_ms: f64,
    /// How long a connection may take to come up (`connectTimeoutMs`).
    pub connect_timeout_ms: f64,
    /// Whether rejections carry `Retry-After` (`retryAfter`).
    pub retry_after_enabled: bool,
    /// A call to the quota counter times out after this; 0 where there is no counter (`countLimitMs`).
    pub counter_timeout_ms: f64,
    /// How the endpoint list reaches the gateway (`discovery`).
    pub discovery_mode: DiscoveryMode,
    /// Sends to an endpoint must stop this long after the gateway was notified that it is draining or gone
    /// (`stopSendingWithinMs`).
    pub drain_grace_ms: f64,
}

/// How the endpoint list reaches a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Pushed by an agent on the gateway's own machine. Calls to it cost nothing and are answered at once,
    /// and the gateway counts as notified of a change as soon as the agent has it.
    Pushed,
    /// Polled from one service that all gateways call, which queues their calls.
    Polled,
}

impl DiscoveryMode {
    fn parse(value: Option<&str>) -> Result<Self, SettingsDocumentError> {
        match value {
            Some("pushed") => Ok(Self::Pushed),
            Some("on_request") => Ok(Self::Polled),
            other => Err(SettingsDocumentError::UnknownDiscoveryMode { value: other.map(str::to_owned) }),
        }
    }
}

impl SettingsDocument {
    /// Reads the settings of real sockets.
    ///
    /// # Errors
    ///
    /// Fails if a figure is absent or out of range, or the discovery mode is unknown.
    pub fn socket_settings(&self) -> Result<SocketSettings, SettingsDocumentError> {
        let limits = &self.site_limits;
        Ok(SocketSettings {
            idle_connection_timeout_ms: positive("connIdleMs", limits.idle_connection_timeout_ms)?,
            connect_timeout_ms: positive("connectTimeoutMs", limits.connect_timeout_ms)?,
            retry_after_enabled: limits.retry_after_enabled,
            discovery_mode: DiscoveryMode::parse(self.discovery.as_deref())?,
            counter_timeout_ms: self.counter_timeout_ms()?,
            drain_grace_ms: not_negative("stopSendingWithinMs", self.endpoint_rules.drain_grace_ms)?,
        })
    }

    fn counter_timeout_ms(&self) -> Result<f64, SettingsDocumentError> {
        if self.service_family.counter_allowed {
            positive("countLimitMs", self.service_family.counter_timeout_ms)
        } else {
            Ok(0.0)
        }
    }
}

fn not_negative(key: &'static str, figure: f64) -> Result<f64, SettingsDocumentError> {
    if figure >= 0.0 {
        Ok(figure)
    } else {
        Err(SettingsDocumentError::NegativeFigure { key })
    }
}

fn positive(key: &'static str, value: Option<f64>) -> Result<f64, SettingsDocumentError> {
    value
        .filter(|figure| figure.is_finite() && *figure > 0.0)
        .ok_or(SettingsDocumentError::InvalidFigure { key })
}
