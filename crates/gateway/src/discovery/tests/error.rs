//! The tests of the text of discovery errors in the log.
use super::{broken_long_poll, unanswered_first_call, unanswered_long_poll, unreachable};
use crate::discovery::error::{CallError, DiscoveryError};
use crate::error_chain::ErrorChain;
use hyper::StatusCode;
use tokio::time::Instant;

/// Expected: one line tells the operator what failed and why.
#[test]
fn error_chain_names_failure_and_cause() {
    let unexpected = DiscoveryError::NoList(CallError::UnexpectedStatus(StatusCode::NOT_FOUND));
    for (error, line) in [
        (unreachable(Instant::now()), "discovery cannot be reached: cannot connect: connection refused"),
        (DiscoveryError::Rejected, "discovery rejected the call with status 503"),
        (unanswered_first_call(), "discovery returned no endpoint list: no response in time"),
        (unexpected, "discovery returned no endpoint list: unexpected status 404 Not Found, expected 200 OK"),
        (unanswered_long_poll(), "the call returned no usable endpoint list: no response in time"),
        (
            broken_long_poll(),
            "the call returned no usable endpoint list: no valid response: the connection was lost",
        ),
    ] {
        assert_eq!(ErrorChain(&error).to_string(), line);
    }
}
