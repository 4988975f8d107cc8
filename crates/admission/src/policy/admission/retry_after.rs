//! Which Retry-After a rejected request carries.

/// Retry-After of a request that found no capacity in time, in ms: the longest that clients honour. A sooner
/// retry would most likely be too late as well, and each costs work. `None` where clients honour none.
pub(crate) fn retry_after_overload(max_retry_after_ms: f64) -> Option<f64> {
    Some(max_retry_after_ms).filter(|ms| *ms > 0.0)
}

/// Retry-After of a request that ran out of time, in ms. One that was sent was not short of capacity: it
/// carries none.
pub(crate) fn retry_after_overdue(is_unsent: bool, max_retry_after_ms: f64) -> Option<f64> {
    if is_unsent {
        retry_after_overload(max_retry_after_ms)
    } else {
        None
    }
}

/// Retry-After in broadcast mode of a request that went over its quota while it was queued: none. When the
/// bucket will have filled enough is computed for new requests only.
pub(crate) fn retry_after_over_quota_in_broadcast_mode() -> Option<f64> {
    None
}

/// Retry-After in a large fleet of a request over its quota, in ms. This gateway does not know when the quota
/// has filled, so it gives the longest that clients honour: 0 where they honour none.
pub(crate) fn retry_after_over_quota_in_large_fleet(max_retry_after_ms: f64) -> Option<f64> {
    Some(max_retry_after_ms)
}
