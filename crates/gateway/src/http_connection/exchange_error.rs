//! The error of an exchange.
use super::exchange_state::ExchangeState;
use super::response_limits::{MAX_INTERIM_RESPONSES, RESPONSE_COMPLETION_TIMEOUT};

/// The reason why an exchange, a request with its response, returned no complete response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExchangeError {
    /// The server has closed the connection, or it failed.
    #[error("the connection was lost")]
    ConnectionLost,
    /// The connection is still open, but the response is malformed or exceeds a limit: the size of its head
    /// or body, [`RESPONSE_COMPLETION_TIMEOUT`] or [`MAX_INTERIM_RESPONSES`].
    #[error(
        "the response is malformed, too large, incomplete after {} ms, or preceded by more than \
         {MAX_INTERIM_RESPONSES} interim responses",
        RESPONSE_COMPLETION_TIMEOUT.as_millis()
    )]
    InvalidResponse,
    /// The connection received bytes that belong to no response after the previous one. The request was not
    /// written.
    #[error("bytes arrived that belong to no response")]
    SurplusBytes,
    /// The request was not passed to the connection, because it must not be written any more.
    #[error("the request must not be written any more")]
    WriteNotPermitted,
    /// The request was passed to the connection, but must not be written any more before it was completely
    /// written.
    #[error("the request must not be written on and remains incomplete")]
    WriteInterrupted,
}

impl ExchangeError {
    /// Returns why an exchange failed whose request was passed to hyper: the connection was lost, or else the
    /// response is invalid.
    pub(super) fn from_state(state: &ExchangeState) -> Self {
        match state.connection_lost.get() {
            true => ExchangeError::ConnectionLost,
            false => ExchangeError::InvalidResponse,
        }
    }
}
