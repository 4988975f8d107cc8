//! How long a customer without requests stays in a gateway's records.
use crate::policy::peer_messages::message_capacity::PEER_TIMEOUT_MS;
use crate::settings::PlanSettings;

/// Customers beyond which idle customers are evicted sooner: a bound on memory.
const MAX_CUSTOMERS: usize = 50_000;

/// Shortest time for which an idle customer is retained, in ms.
const MIN_CUSTOMER_IDLE_MS: f64 = 30_000.0;

/// An idle customer is retained for this multiple of the time in which its quota fills: an evicted customer
/// comes back with a full quota.
const IDLE_REFILLS: f64 = 2.0;

/// How long an idle customer is retained, in ms. `plan` is `None` for a customer known from peers' reports
/// alone, `customers` the number of customers in the records. Among too many it is evicted sooner, unless it
/// has a hard ceiling, whose tokens would come back fuller than they were.
pub(crate) fn idle_limit_ms(plan: Option<&PlanSettings>, customers: usize) -> f64 {
    if customers > MAX_CUSTOMERS && plan.is_none_or(|p| p.ceiling_rate_per_second <= 0.0) {
        return PEER_TIMEOUT_MS;
    }
    let fill_ms = plan
        .filter(|p| p.rate_per_second > 0.0)
        .map_or(0.0, |p| IDLE_REFILLS * 1000.0 * p.burst_units / p.rate_per_second);
    fill_ms.max(MIN_CUSTOMER_IDLE_MS)
}

/// Whether a customer is evicted that has these own attempts in flight and was idle for this time.
pub(crate) fn is_evicted(attempts_in_flight: u32, idle_ms: f64, idle_limit_ms: f64) -> bool {
    attempts_in_flight == 0 && idle_ms >= idle_limit_ms
}
