//! The weight of a customer's flow in the queue, and the size that a request has there.
use crate::settings::PlanSettings;

/// Smallest weight of a class or a plan in the queue. A class or plan of weight 0 is still served.
const MIN_WEIGHT: f64 = 0.01;

/// Returns the weight of a plan's flows in the queue, in units per second: the plan's rate times its plan
/// weight. For a plan without a rate, the rate is the requests per second that its slots can serve at the
/// mean response time. A plan without a concurrency limit counts as one with a single slot.
pub(crate) fn flow_weight(plan: &PlanSettings, mean_response_ms: f64) -> f64 {
    let units_per_second = if plan.rate_per_second > 0.0 {
        plan.rate_per_second
    } else {
        f64::from(plan.concurrency_limit.max(1)) / (mean_response_ms / 1000.0)
    };
    units_per_second * plan.plan_weight.max(MIN_WEIGHT)
}

/// Returns the size of a queued request in broadcast mode: its units, because the sizes of a customer's
/// queued requests also add up to the units of its quota that are reserved for them.
pub(crate) fn request_size_in_broadcast_mode(units: f64) -> f64 {
    units
}

/// Returns the size of a queued request in a large fleet. The higher the priority weight of its class, the
/// smaller the request counts and the sooner it is dispatched.
pub(crate) fn request_size_in_large_fleet(units: f64, priority_weight: f64) -> f64 {
    units / priority_weight.max(MIN_WEIGHT)
}
