//! What the server for clients goes by.
use irishinge_admission::Settings;

/// What the server goes by.
pub(crate) struct DownstreamSettings {
    /// The classes and bounds of requests.
    pub admission: Settings,
    /// Rejections may carry `Retry-After`.
    pub sends_retry_after: bool,
    /// Connections whose requests are served.
    pub max_connections: usize,
}
