//! Why a call to discovery brought no list. [`DiscoveryError`] says what the failure shows of discovery, by
//! which the next call and the lease are decided; [`CallError`] says what went wrong.
use crate::http_connection::ExchangeError;
use std::io;
use thiserror::Error;
use tokio::time::Instant;

/// A call to discovery that brought no list, by what this shows of discovery.
#[derive(Debug, Error)]
pub(super) enum DiscoveryError {
    /// Nothing was reached, so that no change that discovery has published since counts as known yet.
    #[error("discovery cannot be reached")]
    Unreachable {
        /// When the attempt to connect began.
        attempted_at: Instant,
        /// What went wrong.
        #[source]
        cause: CallError,
    },
    /// The call was rejected with status 503: discovery is overloaded, or a proxy in front of it answers
    /// for it.
    #[error("discovery rejected the call with status 503")]
    Rejected,
    /// Something was reached over a new connection, or it answered, but there was no list.
    #[error("discovery gave no list")]
    NoList(#[source] CallError),
    /// A watch over an established connection broke or got no response: discovery may be up or down.
    #[error("the watch was interrupted")]
    WatchInterrupted(#[source] CallError),
}

/// What went wrong with a call.
#[derive(Debug, Error)]
pub(super) enum CallError {
    /// The connection did not come up in time.
    #[error("connection timed out")]
    ConnectTimedOut,
    /// The operating system reported why there is no connection.
    #[error("cannot connect")]
    ConnectFailed(#[source] io::Error),
    /// No request can be built from the address and the path: a defect of the program.
    #[error("cannot build the request")]
    InvalidRequest(#[from] hyper::http::Error),
    /// The connection is up, but the response did not come in time.
    #[error("no response in time")]
    ResponseTimedOut,
    /// The connection broke, or what came is not a response.
    #[error("no valid response")]
    ExchangeFailed(#[from] ExchangeError),
    /// The status is neither 200 nor 503.
    #[error("unexpected status {0}")]
    UnexpectedStatus(hyper::StatusCode),
    /// The response's body is not a list.
    #[error("cannot read the list")]
    MalformedList(#[from] serde_json::Error),
    /// The revision is older than the cached one.
    #[error("the list is older than the one known")]
    RevisionWentBack,
}
