//! The settings of the server for clients.
use irishinge_admission::Settings;

/// The settings of the server for clients.
pub(crate) struct DownstreamSettings {
    /// The decision library's settings: the classes of requests and the limits on their headers.
    pub admission: Settings,
    /// Whether rejections carry `Retry-After`.
    pub sends_retry_after: bool,
    /// The maximum number of connections whose requests are served.
    pub max_connections: usize,
}
