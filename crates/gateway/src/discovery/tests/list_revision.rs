//! What is requested of discovery next, and which responses may be applied.
use super::{reset_watch, silent_call, unreachable};
use crate::discovery::error::{CallError, DiscoveryError};
use crate::discovery::list_revision::{ListCall, ListRevision};
use std::time::Duration;
use tokio::time::Instant;

const WAIT: Duration = Duration::from_millis(3500);

#[test]
fn a_watch_waits_for_changes_and_the_complete_list_is_due_at_once() {
    let watch = ListCall { path: "/v1/servers?after=7&wait_ms=3500".to_string(), wait: WAIT };
    assert_eq!(ListRevision(Some(7)).next_call(WAIT), watch);
    let complete = ListCall { path: "/v1/servers".to_string(), wait: Duration::ZERO };
    assert_eq!(ListRevision(None).next_call(WAIT), complete);
}

/// A response that was overtaken on its way, or comes from a restarted discovery, has an older revision.
/// Were it applied, an endpoint that is draining could be ready again. It is an error, by which the
/// complete list is fetched.
#[test]
fn an_older_revision_than_the_cached_one_is_an_error() {
    for (cached, received, is_applied) in
        [(None, 3, true), (Some(7), 8, true), (Some(7), 7, true), (Some(7), 6, false)]
    {
        let mut revision = ListRevision(cached);
        match revision.advance(received) {
            Ok(()) => {
                assert!(is_applied && revision == ListRevision(Some(received)), "{cached:?} {received}");
            }
            Err(DiscoveryError::WatchInterrupted(CallError::RevisionWentBack)) => {
                assert!(!is_applied && revision == ListRevision(cached), "{cached:?} {received}");
            }
            Err(other) => panic!("{other:?}"),
        }
    }
}

#[test]
fn only_after_a_rejection_the_next_call_is_for_changes_again() {
    let after = |error: DiscoveryError| {
        let mut revision = ListRevision(Some(7));
        revision.reset_after(&error);
        revision.0
    };
    assert_eq!(after(DiscoveryError::Rejected), Some(7));
    assert_eq!(after(unreachable(Instant::now())), None);
    assert_eq!(after(silent_call()), None);
    assert_eq!(after(reset_watch()), None);
}
