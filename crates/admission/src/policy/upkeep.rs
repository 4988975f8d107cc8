//! How often a gateway does its periodic work.

/// Time between two rounds of upkeep, in ms: short beside any latency objective, so that nothing is noticed
/// late.
pub(crate) const UPKEEP_INTERVAL_MS: f64 = 20.0;

/// Time between two reviews of all endpoints in a large fleet, and between two rounds of upkeep there while
/// the gateway has no request, in ms. With many gateways and endpoints each review costs more.
const LARGE_FLEET_REVIEW_MS: f64 = 100.0;

/// Time between two evictions of idle customers, in ms.
const EVICTION_INTERVAL_MS: f64 = 1000.0;

/// A timer that fires at most this much early still counts for its round of upkeep, in ms.
const TIMER_TOLERANCE_MS: f64 = 0.5;

/// Time until the next round of upkeep in broadcast mode, in ms.
pub(crate) fn upkeep_interval_ms_in_broadcast_mode() -> f64 {
    UPKEEP_INTERVAL_MS
}

/// Time until the next round of upkeep in a large fleet, in ms.
pub(crate) fn upkeep_interval_ms_in_large_fleet(has_active_requests: bool) -> f64 {
    if has_active_requests {
        UPKEEP_INTERVAL_MS
    } else {
        LARGE_FLEET_REVIEW_MS
    }
}

/// Whether a round of upkeep that is scheduled for `next_ms` is due.
pub(crate) fn upkeep_is_due(now_ms: f64, next_ms: f64) -> bool {
    now_ms >= next_ms - TIMER_TOLERANCE_MS
}

/// Whether a gateway of a large fleet reviews all endpoints again, this long after the last time.
pub(crate) fn review_is_due(since_review_ms: f64) -> bool {
    since_review_ms >= LARGE_FLEET_REVIEW_MS
}

/// Whether idle customers are evicted again, this long after the last time.
pub(crate) fn eviction_is_due(since_eviction_ms: f64) -> bool {
    since_eviction_ms >= EVICTION_INTERVAL_MS
}
