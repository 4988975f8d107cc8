//! The settings of connections, discovery and answers, which only a gateway with real sockets needs.

use crate::document::SettingsDocument;
use crate::error::SettingsDocumentError;

/// What the settings say of connections and answers on real sockets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SocketSettings {
    /// An endpoint closes a connection that has been idle for this long.
    pub idle_connection_timeout_ms: f64,
    /// A connection that is not established within this time never will be.
    pub connect_timeout_ms: f64,
    /// Whether rejected clients are told when to come back.
    pub retry_after_enabled: bool,
    /// A call to the quota counter is abandoned after this; 0 where there is no counter.
    pub counter_timeout_ms: f64,
    /// How the endpoint list reaches the gateway.
    pub discovery_mode: DiscoveryMode,
    /// Sends to an endpoint must stop this long after the gateway was told that it drains or is gone.
    pub drain_grace_ms: f64,
}

/// How the endpoint list reaches a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Through an agent on the gateway's own machine. Calls to it cost nothing and are answered at once, and the
    /// gateway counts as told of whatever the agent has.
    Pushed,
    /// From one service that all gateways call, where calls wait for each other.
    OnRequest,
}

impl DiscoveryMode {
    fn parse(value: Option<&str>) -> Result<Self, SettingsDocumentError> {
        match value {
            Some("pushed") => Ok(Self::Pushed),
            Some("on_request") => Ok(Self::OnRequest),
            other => Err(SettingsDocumentError::UnknownDiscoveryMode { value: other.map(str::to_owned) }),
        }
    }
}

impl SettingsDocument {
    /// Reads the settings of real sockets.
    ///
    /// # Errors
    /// A [`SettingsDocumentError`] where a figure is absent or not positive, or the discovery mode is unknown.
    pub fn socket_settings(&self) -> Result<SocketSettings, SettingsDocumentError> {
        let limits = &self.site_limits;
        Ok(SocketSettings {
            idle_connection_timeout_ms: positive("connIdleMs", limits.idle_connection_timeout_ms)?,
            connect_timeout_ms: positive("connectTimeoutMs", limits.connect_timeout_ms)?,
            retry_after_enabled: limits.retry_after_enabled,
            discovery_mode: DiscoveryMode::parse(self.discovery.as_deref())?,
            counter_timeout_ms: self.counter_timeout_ms()?,
            drain_grace_ms: self.endpoint_rules.drain_grace_ms,
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

fn positive(key: &'static str, value: Option<f64>) -> Result<f64, SettingsDocumentError> {
    value
        .filter(|figure| figure.is_finite() && *figure > 0.0)
        .ok_or(SettingsDocumentError::InvalidFigure { key })
}
