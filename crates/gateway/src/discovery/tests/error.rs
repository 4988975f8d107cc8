//! The text of discovery errors in the log.
use super::{reset_watch, silent_call, silent_watch, unreachable};
use crate::discovery::error::{CallError, DiscoveryError};
use crate::error_chain::ErrorChain;
use hyper::StatusCode;
use tokio::time::Instant;

/// The operator reads in one line what failed and why.
#[test]
fn the_reason_in_the_log_names_what_failed_and_its_cause() {
    let unexpected = DiscoveryError::NoList(CallError::UnexpectedStatus(StatusCode::NOT_FOUND));
    for (error, line) in [
        (unreachable(Instant::now()), "discovery cannot be reached: cannot connect: connection refused"),
        (DiscoveryError::Rejected, "discovery rejected the call with status 503"),
        (silent_call(), "discovery gave no list: no response in time"),
        (unexpected, "discovery gave no list: unexpected status 404 Not Found"),
        (silent_watch(), "the watch was interrupted: no response in time"),
        (reset_watch(), "the watch was interrupted: no valid response: the connection was lost"),
    ] {
        assert_eq!(ErrorChain(&error).to_string(), line);
    }
}
