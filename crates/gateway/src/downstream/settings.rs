//! The settings of the HTTP server for clients.
use crate::byte_budget::ByteBudget;
use irishinge_admission::Settings;
use std::rc::Rc;

/// The settings of the HTTP server for clients.
pub(crate) struct DownstreamSettings {
    /// The admission library's settings: the classes of requests and the limits on values in their headers.
    pub admission: Settings,
    /// Whether rejections carry a `Retry-After` header.
    pub sends_retry_after: bool,
    /// The maximum number of connections whose requests are served.
    pub max_connections: usize,
    /// Limits the memory that heads and bodies of requests take together.
    pub request_budget: Rc<ByteBudget>,
    /// Limits the memory that bodies of responses take, until clients have read them.
    pub response_budget: Rc<ByteBudget>,
}
