//! The Retry-After of a rejected request.

/// Returns the Retry-After of a request that found no capacity in time, in ms: the longest that clients
/// honour. An earlier retry would most likely be too late as well, and each retry costs work. Returns `None`
/// if clients honour none.
pub(crate) fn retry_after_overload(max_retry_after_ms: f64) -> Option<f64> {
    Some(max_retry_after_ms).filter(|ms| *ms > 0.0)
}

/// Returns the Retry-After of a request that ran out of time, in ms. A request that was sent gets none,
/// because it did not lack capacity.
pub(crate) fn retry_after_overdue(is_unsent: bool, max_retry_after_ms: f64) -> Option<f64> {
    if is_unsent {
        retry_after_overload(max_retry_after_ms)
    } else {
        None
    }
}

/// Returns the Retry-After, in broadcast mode, of a queued request that turned out to be over its quota. It
/// is none: the time until the bucket has filled enough is computed for new requests only.
pub(crate) fn retry_after_over_quota_in_broadcast_mode() -> Option<f64> {
    None
}

/// Returns the Retry-After, in a large fleet, of a request over its quota, in ms. This gateway does not know
/// when the quota will have filled, so it gives the longest that clients honour. If they honour none, that is
/// 0 and not `None` as for a lack of capacity: the host program gives status 429 to a rejection with a
/// Retry-After, even of 0, and status 503 to one without.
pub(crate) fn retry_after_over_quota_in_large_fleet(max_retry_after_ms: f64) -> Option<f64> {
    Some(max_retry_after_ms)
}
