//! The tests of what is requested from discovery next, and of which responses may be applied.
use super::{broken_long_poll, unanswered_first_call, unreachable};
use crate::discovery::error::{CallError, DiscoveryError};
use crate::discovery::list_revision::{ListCall, ListRevision};
use std::time::Duration;
use tokio::time::Instant;

/// The wait of a long poll.
const WAIT: Duration = Duration::from_millis(3500);

#[test]
fn long_poll_waits_for_changes_and_complete_list_is_immediate() {
    let long_poll = ListCall { path: "/v1/servers?after=7&wait_ms=3500".to_string(), wait: WAIT };
    assert_eq!(ListRevision(Some(7)).next_call(WAIT), long_poll);
    let complete = ListCall { path: "/v1/servers".to_string(), wait: Duration::ZERO };
    assert_eq!(ListRevision(None).next_call(WAIT), complete);
}

/// A response that was overtaken by a newer one, or that comes from a restarted discovery, has an older
/// revision. If it were applied, a draining endpoint could become ready again. Expected: an error, and the
/// cached revision stays.
#[test]
fn revision_older_than_cached_is_an_error() {
    for (cached, received, is_applied) in
        [(None, 3, true), (Some(7), 8, true), (Some(7), 7, true), (Some(7), 6, false)]
    {
        let mut revision = ListRevision(cached);
        match revision.advance(received) {
            Ok(()) => {
                assert!(is_applied && revision == ListRevision(Some(received)), "{cached:?} {received}");
            }
            Err(DiscoveryError::Inconclusive(CallError::StaleRevision { received: r, cached: c })) => {
                assert!(!is_applied && revision == ListRevision(cached), "{cached:?} {received}");
                assert_eq!((r, Some(c)), (received, cached));
            }
            Err(other) => panic!("{other:?}"),
        }
    }
}

#[test]
fn cached_revision_is_kept_only_after_rejection() {
    let after = |error: DiscoveryError| {
        let mut revision = ListRevision(Some(7));
        revision.reset_after(&error);
        revision.0
    };
    assert_eq!(after(DiscoveryError::Rejected), Some(7));
    assert_eq!(after(unreachable(Instant::now())), None);
    assert_eq!(after(unanswered_first_call()), None);
    assert_eq!(after(broken_long_poll()), None);
}
