//! Whether a new request is sent at once, queued or rejected.
//!
//! Both modes reject a request that comes too late. In broadcast mode a gateway knows the customer's quota
//! and the stock itself, so that a request may be sent at once. In a large fleet both are requested from
//! others, so that every request in time is queued first.
use crate::policy::admission::deadline::RequestTimes;
use crate::policy::admission::retry_after::retry_after_overload;
use crate::policy::queue::customer_limits::LimitDecision;
use crate::state::{BandPosition, LocalBucketCheck};

/// Requests queued at most: a bound on memory, far above what can be served within a latency objective.
const MAX_QUEUED_REQUESTS: usize = 4000;

/// What becomes of a new request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Admission {
    /// It is sent now, if an endpoint is found.
    Send,
    /// It waits in the queue.
    Queue,
    /// It is rejected. The client may retry after this time in ms; `None`: no advice.
    Reject { retry_after_ms: Option<f64> },
}

/// What admission in broadcast mode goes by, once a request is known to be in time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AdmissionInput {
    /// What the customer's token bucket has for the request.
    pub(crate) quota: LocalBucketCheck,
    /// What the customer's open limit and ceiling permit now.
    pub(crate) limits: LimitDecision,
    /// Where the stock lies against the band's bounds.
    pub(crate) band: BandPosition,
    /// Whether queued requests wait for the band or for an endpoint: a new one must not overtake them.
    pub(crate) queue_is_blocked: bool,
    /// Number of queued requests.
    pub(crate) queued_requests: usize,
}

/// What admission in a large fleet goes by.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LargeFleetAdmissionInput {
    /// The times by which the request is judged.
    pub(crate) times: RequestTimes,
    /// Number of queued requests.
    pub(crate) queued_requests: usize,
    /// Longest Retry-After that clients honour, in ms; 0: none.
    pub(crate) max_retry_after_ms: f64,
}

/// The rejection of a request that can no longer be answered in time; `None` for one that can. In broadcast
/// mode it comes first, because finding the band's position takes a look at all endpoints.
pub(crate) fn reject_if_too_late(times: &RequestTimes, max_retry_after_ms: f64) -> Option<Admission> {
    let rejection = Admission::Reject { retry_after_ms: retry_after_overload(max_retry_after_ms) };
    times.is_too_late().then_some(rejection)
}

/// Admits a request in broadcast mode. Within its quota it may be sent up to the band's upper bound; beyond
/// its quota, where the plan pays for that, only up to the lower bound, which queued requests also keep to.
pub(crate) fn admit_in_broadcast_mode(input: &AdmissionInput) -> Admission {
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

/// What becomes of a request in broadcast mode that is not sent now: within its quota it is queued.
pub(crate) fn queue_or_reject(input: &AdmissionInput) -> Admission {
    if input.quota.is_within_quota && input.queued_requests < MAX_QUEUED_REQUESTS {
        Admission::Queue
    } else {
        Admission::Reject { retry_after_ms: input.quota.retry_after_ms }
    }
}

/// Whether peers are sent a request for units of the customer's ceiling: where only the lack of these keeps
/// a new request from being sent.
pub(crate) fn lacks_ceiling_units_only(input: &AdmissionInput) -> bool {
    input.quota.is_within_quota
        && input.band.permits_new_request()
        && input.limits == LimitDecision::WaitForCeiling
}

/// Admits a request in a large fleet: it is queued until its quota is known, unless it comes too late or the
/// queue is full.
pub(crate) fn admit_in_large_fleet(input: &LargeFleetAdmissionInput) -> Admission {
    if input.times.is_too_late() || input.queued_requests >= MAX_QUEUED_REQUESTS {
        Admission::Reject { retry_after_ms: retry_after_overload(input.max_retry_after_ms) }
    } else {
        Admission::Queue
    }
}
