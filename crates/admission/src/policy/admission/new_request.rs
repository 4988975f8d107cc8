//! Decides whether a new request is sent at once, queued or rejected.
//!
//! Both modes reject a request that comes too late to be answered in time. In broadcast mode a gateway itself
//! knows the customer's quota and the fleet's attempts in flight, so it may send a request at once. In a
//! large fleet it learns both late, from peers or the quota counter, or has to assume them, so every request
//! that is in time is queued first.
use crate::policy::admission::deadline::RequestTimes;
use crate::policy::admission::retry_after::retry_after_overload;
use crate::policy::queue::customer_limits::LimitDecision;
use crate::state::{BandPosition, LocalBucketCheck};

/// Most requests that a gateway queues. This bounds memory; it is far above the number that can be served
/// within a latency objective.
const MAX_QUEUED_REQUESTS: usize = 4000;

/// The decision on a new request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Admission {
    /// The request is sent now, if an endpoint is found.
    Send,
    /// The request waits in the queue.
    Queue,
    /// The request is rejected.
    Reject {
        /// Time after which the client may retry, in milliseconds; `None` gives no advice.
        retry_after_ms: Option<f64>,
    },
}

/// The input of admission in broadcast mode, for a request that is known to be in time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BroadcastAdmissionInput {
    /// The result of checking the request against the customer's token bucket.
    pub(crate) quota: LocalBucketCheck,
    /// Whether the customer's concurrency limit and ceiling permit the request now.
    pub(crate) limits: LimitDecision,
    /// The position of the fleet's attempts in flight relative to the band's bounds.
    pub(crate) band: BandPosition,
    /// Whether queued requests wait for the band or for an endpoint. A new request must not overtake them.
    pub(crate) queue_is_blocked: bool,
    /// Number of queued requests.
    pub(crate) queued_requests: usize,
}

/// The input of admission in a large fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LargeFleetAdmissionInput {
    /// The times that decide whether the request can still be answered in time.
    pub(crate) times: RequestTimes,
    /// Number of queued requests.
    pub(crate) queued_requests: usize,
    /// Longest Retry-After that clients honour, in ms; 0 if they honour none.
    pub(crate) max_retry_after_ms: f64,
}

/// Returns the rejection of a request that can no longer be answered in time; `None` if it can. In broadcast
/// mode this is checked before the band's position is computed, because that visits all endpoints and would
/// be wasted on a request that is rejected.
pub(crate) fn reject_if_too_late(times: &RequestTimes, max_retry_after_ms: f64) -> Option<Admission> {
    let rejection = Admission::Reject { retry_after_ms: retry_after_overload(max_retry_after_ms) };
    times.is_too_late().then_some(rejection)
}

/// Returns the rejection of a request whose customer has no record, if there is no room for another one.
pub(crate) fn reject_without_record(max_retry_after_ms: f64) -> Admission {
    Admission::Reject { retry_after_ms: retry_after_overload(max_retry_after_ms) }
}

/// Decides on a new request in broadcast mode. A request within its quota is sent at once if the fleet's
/// attempts in flight are below the band's upper bound and the customer's limits permit it. A request over
/// its quota is sent only if it may exceed the quota, and only below the lower bound, to which queued
/// requests are also held; `limits` does not apply to it. Neither is sent past a blocked queue.
pub(crate) fn admit_in_broadcast_mode(input: &BroadcastAdmissionInput) -> Admission {
    let may_send = if input.quota.is_within_quota {
        input.band.permits_new_request() && input.limits == LimitDecision::Admit
    } else {
        input.band.permits_queued_request() && input.quota.may_exceed
    };
    if may_send && !input.queue_is_blocked {
        Admission::Send
    } else {
        queue_or_reject(input)
    }
}

/// Decides on a request in broadcast mode that is not sent now: it is queued if it is within its quota and
/// the queue is not full, and rejected otherwise. The Retry-After of the rejection is the time until the
/// bucket holds enough for the request. For a request within its quota that finds the queue full, that is 0
/// if the plan has a rate, and `None` if it has none.
pub(crate) fn queue_or_reject(input: &BroadcastAdmissionInput) -> Admission {
    if input.quota.is_within_quota && input.queued_requests < MAX_QUEUED_REQUESTS {
        Admission::Queue
    } else {
        Admission::Reject { retry_after_ms: input.quota.retry_after_ms }
    }
}

/// Returns whether quota, band and concurrency limit permit a new request and only units of the customer's
/// ceiling are lacking, so that peers are asked for some.
pub(crate) fn lacks_only_ceiling_units(input: &BroadcastAdmissionInput) -> bool {
    input.quota.is_within_quota
        && input.band.permits_new_request()
        && input.limits == LimitDecision::WaitForCeiling
}

/// Decides on a new request in a large fleet: it is queued until its quota is known, unless it comes too late
/// or the queue is full.
pub(crate) fn admit_in_large_fleet(input: &LargeFleetAdmissionInput) -> Admission {
    if input.times.is_too_late() || input.queued_requests >= MAX_QUEUED_REQUESTS {
        Admission::Reject { retry_after_ms: retry_after_overload(input.max_retry_after_ms) }
    } else {
        Admission::Queue
    }
}
