//! The errors of calls to discovery. [`DiscoveryError`] says what a failed call shows about discovery's
//! state, which determines the lease and the pause before the next call. [`CallError`] is the cause of the
//! failure.
use crate::http_connection::ExchangeError;
use std::io;
use thiserror::Error;
use tokio::time::Instant;

/// A call to discovery that returned no usable list, classified by what this shows about discovery's state.
#[derive(Debug, Error)]
pub(super) enum DiscoveryError {
    /// No connection could be established. The time within which a change must be known to every gateway does
    /// not run while discovery cannot be reached.
    #[error("discovery cannot be reached")]
    Unreachable {
        /// When the attempt to connect began.
        attempted_at: Instant,
        /// The reason for which there is no connection.
        #[source]
        cause: CallError,
    },
    /// The call was rejected with status 503: either discovery is overloaded, or discovery is down and a
    /// proxy in front of it responded.
    #[error("discovery rejected the call with status 503")]
    Rejected,
    /// A connection was established but its first call got no usable response, or any call got a response
    /// without a list: discovery was reached and may have changes that the gateway has not received.
    #[error("discovery returned no endpoint list")]
    NoList(#[source] CallError),
    /// A later call on a connection got no response or no valid one, or a call returned an older revision
    /// than the cached one. This shows neither that discovery is down nor that it has changes which the
    /// gateway missed, so the lease and the overload state stay as they are.
    #[error("the call returned no usable endpoint list")]
    Inconclusive(#[source] CallError),
}

/// The cause of a failed call.
#[derive(Debug, Error)]
pub(super) enum CallError {
    /// The connection was not established before the timeout.
    #[error("connection timed out")]
    ConnectTimedOut,
    /// The operating system returned an error instead of a connection.
    #[error("cannot connect")]
    ConnectFailed(#[source] io::Error),
    /// The address and the path do not form a valid request: a defect of the program.
    #[error("cannot build the request")]
    InvalidRequest(#[from] hyper::http::Error),
    /// The connection was established, but the response did not arrive before the timeout.
    #[error("no response in time")]
    ResponseTimedOut,
    /// The connection was lost, or the response is not valid HTTP, incomplete or too large.
    #[error("no valid response")]
    ExchangeFailed(#[from] ExchangeError),
    /// The status is neither 200 nor 503.
    #[error("unexpected status {0}, expected 200 OK")]
    UnexpectedStatus(hyper::StatusCode),
    /// The response's body is not an endpoint list.
    #[error("the response is not a valid endpoint list")]
    MalformedList(#[from] serde_json::Error),
    /// The revision of the received list is older than that of the cached one.
    #[error("the received endpoint list has revision {received}, which is older than the cached {cached}")]
    StaleRevision {
        /// The revision of the received list.
        received: u64,
        /// The revision of the cached list.
        cached: u64,
    },
}
