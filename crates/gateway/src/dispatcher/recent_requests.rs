//! Requests that have ended, but which an endpoint may still run.
use irishinge_admission::RequestId;
use std::collections::{HashSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// How long a request is remembered after its end. It is longer than the time for which a client waits or an
/// endpoint works on a request.
const RETENTION: Duration = Duration::from_secs(30);
/// The maximum number of requests that are remembered, which bounds memory. The oldest is forgotten first.
const MAX_REQUESTS: usize = 10_000;

/// The ids of requests that ended recently and may have run. If one of them were sent again, it could run
/// twice.
#[derive(Default)]
pub(super) struct RecentRequests {
    /// The ids, with the times at which the requests ended, oldest first.
    by_end: VecDeque<(Instant, RequestId)>,
    /// The same ids.
    ids: HashSet<RequestId>,
}

impl RecentRequests {
    /// Remembers a request that has ended at `now`.
    pub(super) fn insert(&mut self, id: RequestId, now: Instant) {
        if self.ids.insert(id) {
            self.by_end.push_back((now, id));
        }
        if self.by_end.len() > MAX_REQUESTS {
            self.forget_oldest();
        }
    }

    /// Returns whether a request of this id ended recently, as of `now`.
    pub(super) fn contains(&mut self, id: RequestId, now: Instant) -> bool {
        while self.by_end.front().is_some_and(|(ended_at, _)| now >= *ended_at + RETENTION) {
            self.forget_oldest();
        }
        self.ids.contains(&id)
    }

    /// Forgets the request that ended first.
    fn forget_oldest(&mut self) {
        if let Some((_, id)) = self.by_end.pop_front() {
            self.ids.remove(&id);
        }
    }
}
