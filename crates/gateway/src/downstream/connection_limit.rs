//! What becomes of a new connection, by how many are open.
use super::connection_table::Eviction;

/// The maximum number of connections that are accepted beyond the limit, only to reject the requests on
/// them, so that their clients get a response.
pub(crate) const MAX_REJECTING_CONNECTIONS: usize = 8;

/// The limits on open connections.
#[derive(Debug, Clone, Copy)]
pub(super) struct ConnectionLimit {
    /// The maximum number of connections whose requests are served.
    pub(super) max_serving: usize,
    /// The maximum number of further connections, which are accepted only to reject the requests on them.
    pub(super) max_rejecting: usize,
}

/// What becomes of a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AcceptDecision {
    /// Its requests are served.
    Serve,
    /// Its requests are served if a connection closes first, as the evicted one is about to. Else it is
    /// closed.
    ServeAfterClose,
    /// Its requests are rejected.
    Reject,
    /// It is closed.
    Close,
}

impl ConnectionLimit {
    /// Whether a connection must be evicted for a new one while `open` are open.
    pub(super) fn needs_eviction(&self, open: usize) -> bool {
        open >= self.max_serving
    }

    /// Whether a new connection may be opened while `open` are open, be it to reject its requests.
    pub(super) fn has_capacity(&self, open: usize) -> bool {
        open < self.max_serving + self.max_rejecting
    }

    /// What becomes of a new connection while `open` are open, not counting it. `eviction` is the result of
    /// the eviction, where one was needed. An evicted connection counts as open until its task has run.
    pub(super) fn decide(&self, open: usize, eviction: Option<Eviction>) -> AcceptDecision {
        match (eviction, self.has_capacity(open)) {
            (None | Some(Eviction::Evicted), true) => AcceptDecision::Serve,
            (None | Some(Eviction::Evicted), false) => AcceptDecision::ServeAfterClose,
            (Some(Eviction::AllActive), true) => AcceptDecision::Reject,
            (Some(Eviction::AllActive), false) => AcceptDecision::Close,
        }
    }
}
