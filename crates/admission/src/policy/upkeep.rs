//! The intervals of a gateway's periodic work.

/// Time between two rounds of upkeep, in ms. It is short compared with any latency objective, so that overdue
/// requests and stalled attempts are noticed in time.
pub(crate) const UPKEEP_INTERVAL_MS: f64 = 20.0;

/// Time between two reviews in a large fleet, and between two rounds of upkeep there while the gateway has no
/// active request, in ms. A review is the part of upkeep that visits all endpoints: it detects a correlated
/// failure and updates the means over the fleet. It is longer than `UPKEEP_INTERVAL_MS`, because a review
/// costs more with many gateways and endpoints.
const LARGE_FLEET_SLOW_INTERVAL_MS: f64 = 100.0;

/// Time between two evictions of idle customers, in ms.
const EVICTION_INTERVAL_MS: f64 = 1000.0;

/// Longest time by which a timer may fire early and still start its round of upkeep, in ms.
const TIMER_TOLERANCE_MS: f64 = 0.5;

/// Returns the time until the next round of upkeep in broadcast mode, in ms.
pub(crate) fn upkeep_interval_ms_in_broadcast_mode() -> f64 {
    UPKEEP_INTERVAL_MS
}

/// Returns the time until the next round of upkeep in a large fleet, in ms.
pub(crate) fn upkeep_interval_ms_in_large_fleet(has_active_requests: bool) -> f64 {
    if has_active_requests {
        UPKEEP_INTERVAL_MS
    } else {
        LARGE_FLEET_SLOW_INTERVAL_MS
    }
}

/// Returns whether a round of upkeep that is scheduled for `next_ms` is due.
pub(crate) fn upkeep_is_due(now_ms: f64, next_ms: f64) -> bool {
    now_ms >= next_ms - TIMER_TOLERANCE_MS
}

/// Returns whether the next review is due in a large fleet, `since_review_ms` after the last one.
pub(crate) fn review_is_due(since_review_ms: f64) -> bool {
    since_review_ms >= LARGE_FLEET_SLOW_INTERVAL_MS
}

/// Returns whether an eviction of idle customers is due, `since_eviction_ms` after the last one.
pub(crate) fn eviction_is_due(since_eviction_ms: f64) -> bool {
    since_eviction_ms >= EVICTION_INTERVAL_MS
}
