//! The decision whether a new connection is served, rejected or closed, by the number of open connections.
use super::connection_table::Eviction;

/// The maximum number of connections that are accepted beyond the limit: those whose requests are rejected,
/// so that their clients receive a response, and those that are served while evicted ones still close.
pub(crate) const MAX_REJECTING_CONNECTIONS: usize = 8;

/// The limits on open connections.
#[derive(Debug, Clone, Copy)]
pub(super) struct ConnectionLimit {
    /// The number of open connections from which one must be evicted before another is served.
    pub(super) max_serving: usize,
    /// The maximum number of connections beyond that: new ones whose requests are rejected, or served while
    /// evicted ones still close.
    pub(super) max_beyond_limit: usize,
}

/// Whether a new connection is served, rejected or closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AcceptDecision {
    /// The requests on the connection are served.
    Serve,
    /// The requests on the connection are served if another connection closes first, as the evicted one is
    /// about to. Otherwise the new connection is closed.
    ServeAfterClose,
    /// The requests on the connection are rejected.
    Reject,
    /// The connection is closed.
    Close,
}

impl ConnectionLimit {
    /// Returns whether a connection must be evicted for a new one while `open` connections are open.
    pub(super) fn needs_eviction(&self, open: usize) -> bool {
        open >= self.max_serving
    }

    /// Returns whether `open` connections are fewer than the limit on served and rejecting connections
    /// together. At that limit, a new connection may not even be accepted to reject its requests.
    pub(super) fn is_below_total_limit(&self, open: usize) -> bool {
        open < self.max_serving + self.max_beyond_limit
    }

    /// Decides on a new connection while `open` others are open. `eviction` is the result of the eviction, or
    /// `None` if none was needed. An evicted connection counts as open until its task has run.
    pub(super) fn decide(&self, open: usize, eviction: Option<Eviction>) -> AcceptDecision {
        match (eviction, self.is_below_total_limit(open)) {
            (None | Some(Eviction::Evicted), true) => AcceptDecision::Serve,
            (None | Some(Eviction::Evicted), false) => AcceptDecision::ServeAfterClose,
            (Some(Eviction::NoneEvictable), true) => AcceptDecision::Reject,
            (Some(Eviction::NoneEvictable), false) => AcceptDecision::Close,
        }
    }
}
