//! The time for which a customer without requests stays in a gateway's records, and which customer makes
//! room for another when there are as many records as there may be.
use crate::policy::peer_messages::message_capacity::PEER_TIMEOUT_MS;
use crate::settings::PlanSettings;

/// Maximum number of customers with a record, unless the settings give another. This bounds memory.
pub(crate) const DEFAULT_MAX_CUSTOMERS: usize = 50_000;

/// Number of records that are inspected to find one that makes room for another. It bounds the work for each
/// request; the next search continues behind them.
pub(crate) const EVICTION_SAMPLE: usize = 32;

/// Shortest time for which an idle customer is retained, in ms, unless there are too many customers.
const MIN_CUSTOMER_IDLE_MS: f64 = 30_000.0;

/// Time for which an idle customer is retained, as a multiple of the time in which its quota fills, unless
/// there are too many customers. A customer that returns after its eviction starts with a full quota, so it
/// is not evicted before its quota is full.
const IDLE_REFILLS: f64 = 2.0;

/// Returns how long an idle customer is retained while there is room for others, in ms. `plan` is `None` if
/// the customer is known only from peers' reports.
pub(crate) fn idle_limit_ms(plan: Option<&PlanSettings>) -> f64 {
    let fill_ms = plan
        .filter(|p| p.rate_per_second > 0.0)
        .map_or(0.0, |p| IDLE_REFILLS * 1000.0 * p.burst_units / p.rate_per_second);
    fill_ms.max(MIN_CUSTOMER_IDLE_MS)
}

/// Returns whether a customer that has been idle for `idle_ms` is evicted. A customer with attempts in flight
/// that take a slot at this gateway never is.
pub(crate) fn is_evicted(attempts_in_flight: u32, idle_ms: f64, idle_limit_ms: f64) -> bool {
    attempts_in_flight == 0 && idle_ms >= idle_limit_ms
}

/// What decides whether a customer's record makes room for another customer's.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct EvictionInput {
    /// Whether a request of the customer is queued, in flight, granted or being counted here.
    pub(crate) is_in_use: bool,
    /// Whether quota and ceiling hold at least the tokens that a new record would have.
    pub(crate) has_full_buckets: bool,
    /// Whether units were consumed that peers count.
    pub(crate) has_consumed: bool,
    /// Whether the customer's plan has a hard ceiling.
    pub(crate) has_ceiling: bool,
    /// Time since the customer's last request, or a peer's last report about the customer, in ms.
    pub(crate) idle_ms: f64,
}

/// How well a record can be spared; the highest is evicted.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub(crate) enum EvictionRank {
    /// The customer has been idle for this time, in ms, and may return with a full quota too early.
    Idle(f64),
    /// The customer would return with the same quota and ceiling.
    LikeNew,
}

/// Returns how well a record can be spared, or `None` if it must be kept. A customer that has consumed units
/// is evicted only if peers no longer count its last reports. One with a hard ceiling is kept until its
/// tokens are back: it would return with the ceiling tokens that accrued since the gateway's start, which may
/// be more than it had left.
pub(crate) fn eviction_rank(input: &EvictionInput) -> Option<EvictionRank> {
    if input.is_in_use {
        None
    } else if input.has_full_buckets && (!input.has_consumed || input.idle_ms >= PEER_TIMEOUT_MS) {
        Some(EvictionRank::LikeNew)
    } else if input.has_ceiling || input.idle_ms < PEER_TIMEOUT_MS {
        None
    } else {
        Some(EvictionRank::Idle(input.idle_ms))
    }
}
