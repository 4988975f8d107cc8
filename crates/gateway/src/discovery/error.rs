//! Why a call to discovery brought no list: [`DiscoveryError`] says what it tells of discovery, which decides
//! on the next call and on the lease; [`CallError`] says what went wrong.
use crate::http_connection::ExchangeError;
use std::io;
use thiserror::Error;
use tokio::time::Instant;

/// A call to discovery that brought no list, by what it tells of discovery.
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
    /// The call was refused with 503: discovery is overloaded, or a proxy in front of it answers for it.
    #[error("discovery refused the call with status 503")]
    Refused,
    /// Something was reached over a new connection, or it answered, but there was no list.
    #[error("discovery gave no list")]
    NoList(#[source] CallError),
    /// A watch over an established connection broke or fell silent: discovery may be up or down.
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
    /// The address or the path does not make a request: a defect of the program.
    #[error("cannot build the request")]
    InvalidRequest(#[from] hyper::http::Error),
    /// The connection is up, but the response did not come in time.
    #[error("no response in time")]
    ResponseTimedOut,
    /// The connection broke, or what came is not a response.
    #[error("no valid response")]
    ExchangeFailed(#[from] ExchangeError),
    /// The response is neither a list nor a refusal.
    #[error("unexpected status {0}")]
    UnexpectedStatus(hyper::StatusCode),
    /// The response is no list.
    #[error("cannot read the list")]
    MalformedList(#[from] serde_json::Error),
    /// The revision is older than the one known.
    #[error("the list is older than the one known")]
    RevisionWentBack,
}
