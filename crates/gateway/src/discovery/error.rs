//! Why discovery gave no list: what was reached, which the schedule and the lease go by, and what went wrong.
use crate::http_connection::ExchangeError;
use std::io;
use thiserror::Error;
use tokio::time::Instant;

/// A call to discovery that brought no list, by what it tells of discovery.
#[derive(Debug, Error)]
pub(super) enum DiscoveryError {
    /// Nothing was reached, so that no change that discovery has published since counts as known yet.
    #[error("{cause}")]
    Unreachable {
        /// When the attempt to connect began.
        attempted_at: Instant,
        /// What went wrong.
        #[source]
        cause: CallError,
    },
    /// The call was refused with 503: discovery is overloaded, or a proxy in front of it answers for it.
    #[error("refused with 503")]
    Refused,
    /// Something was reached over a new connection, or it answered, but there was no list.
    #[error("{0}")]
    NoList(#[source] CallError),
    /// A watch over an established connection broke or fell silent: discovery may be up or down.
    #[error("{0}")]
    WatchInterrupted(#[source] CallError),
}

/// What went wrong with a call.
#[derive(Debug, Error)]
pub(super) enum CallError {
    #[error("connection timed out")]
    ConnectTimedOut,
    #[error("cannot connect: {0}")]
    ConnectFailed(#[source] io::Error),
    #[error("request cannot be built: {0}")]
    InvalidRequest(#[from] hyper::http::Error),
    #[error("no response in time")]
    ResponseTimedOut,
    #[error("no valid response: {0}")]
    ExchangeFailed(#[from] ExchangeError),
    #[error("unexpected status {0}")]
    UnexpectedStatus(hyper::StatusCode),
    #[error("list cannot be read: {0}")]
    MalformedList(#[from] serde_json::Error),
    #[error("list is older than the one known")]
    RevisionWentBack,
}
