//! How much of the service a customer's flow gets in the queue, and how large a request counts there.
use crate::settings::PlanSettings;

/// Least weight of a class or a plan in the queue: one of weight 0 is still served.
const MIN_WEIGHT: f64 = 0.01;

/// The weight of a plan's flows in the queue, in units per second. The plan's weight multiplies its rate; a
/// plan without a rate counts for what its slots can do in the mean response time.
pub(crate) fn flow_weight(plan: &PlanSettings, mean_response_ms: f64) -> f64 {
    let units_per_second = if plan.rate_per_second > 0.0 {
        plan.rate_per_second
    } else {
        f64::from(plan.open_limit.max(1)) / (mean_response_ms / 1000.0)
    };
    units_per_second * plan.plan_weight.max(MIN_WEIGHT)
}

/// Size of a request in the queue of a gateway in broadcast mode: its units, since the queue also says how
/// many units of a quota are reserved.
pub(crate) fn request_size_in_broadcast_mode(units: f64) -> f64 {
    units
}

/// Size of a request in the queue of a gateway of a large fleet: the higher the priority weight of its
/// class, the less it counts, and the sooner it is dispatched.
pub(crate) fn request_size_in_large_fleet(units: f64, priority_weight: f64) -> f64 {
    units / priority_weight.max(MIN_WEIGHT)
}
