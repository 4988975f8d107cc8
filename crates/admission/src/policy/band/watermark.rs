//! Decides when the watermark rises and falls.
use crate::policy::band::dispatch_credit::LargeFleetBand;

/// Lowest watermark in broadcast mode, in attempts in flight per ready endpoint, however slow the responses:
/// `watermarkPerBackend` of the published design that the queue follows. The band starts with it.
const MIN_WATERMARK: f64 = 2.0;

/// Factor on the lowest watermark in a large fleet. Gateways that select endpoints at random spread attempts
/// unevenly, so that more endpoints are idle at the same mean.
const LARGE_FLEET_MIN_WATERMARK_FACTOR: f64 = 2.0;

/// Highest watermark, in attempts in flight per ready endpoint.
const MAX_WATERMARK: f64 = 64.0;

/// Time between two steps of the watermark, in latency objectives. Responses must show the effect of the last
/// step before the next one.
const STEP_INTERVAL_OBJECTIVES: f64 = 0.12;

/// Response time below which the watermark may rise, as a fraction of the latency objective.
const RAISE_BELOW_OBJECTIVE_FRACTION: f64 = 0.26;

/// Largest rise of the watermark in a step, as a fraction of the watermark. The rise is smaller the longer
/// responses take, and this large only if they take no time at all.
const MAX_RISE_FRACTION: f64 = 0.4;

/// Response time above which the watermark falls, as a fraction of the latency objective.
const LOWER_ABOVE_OBJECTIVE_FRACTION: f64 = 0.36;

/// Factor by which the watermark is multiplied when it falls by a step.
const FALL_FACTOR: f64 = 0.93;

/// Weight of the typical age of attempts in flight relative to the response time, in broadcast mode. The age
/// shows a fault before responses do.
const AGE_WEIGHT: f64 = 1.5;

/// Weight of the typical age of attempts in flight relative to the response time, in a large fleet. The age
/// is estimated there as the number of attempts in flight divided by the response rate. Stalled attempts
/// raise this estimate, so it has less weight.
const LARGE_FLEET_AGE_WEIGHT: f64 = 0.9;

/// Factor on both response time thresholds of the watermark in a large fleet. Endpoints are selected at
/// random there, so that response times vary more under the same load.
const LARGE_FLEET_THRESHOLD_FACTOR: f64 = 1.5;

/// Returns the watermark that the band starts with and never falls below, in broadcast mode.
pub(crate) fn watermark_floor_in_broadcast_mode() -> f64 {
    MIN_WATERMARK
}

/// Returns the watermark that the band starts with and never falls below, in a large fleet.
pub(crate) fn watermark_floor_in_large_fleet() -> f64 {
    MIN_WATERMARK * LARGE_FLEET_MIN_WATERMARK_FACTOR
}

/// Returns whether a step of the watermark is due, `since_step_ms` after the last one.
pub(crate) fn watermark_step_is_due(since_step_ms: f64, shortest_objective_ms: f64) -> bool {
    since_step_ms >= shortest_objective_ms * STEP_INTERVAL_OBJECTIVES
}

/// The input of a step of the watermark.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WatermarkInput {
    /// Smoothed response time of all classes, as a fraction of the latency objective.
    pub(crate) objective_fraction: f64,
    /// Typical age of attempts in flight, in ms.
    pub(crate) typical_attempt_age_ms: f64,
    /// Shortest latency objective of all classes, in ms.
    pub(crate) shortest_objective_ms: f64,
    /// Whether queued requests wait now, for the band or for an endpoint, or have waited for the band since
    /// the last step.
    pub(crate) was_blocked: bool,
}

/// A step of the watermark.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum WatermarkStep {
    /// Responses are slow: the watermark is multiplied by `factor`.
    Lower {
        /// Factor on the watermark; below 1.
        factor: f64,
    },
    /// Responses are fast and a rise is needed, because requests wait or require dispatch credit: the
    /// watermark is multiplied by `factor`.
    Raise {
        /// Factor on the watermark; above 1.
        factor: f64,
    },
    /// The watermark stays as it is.
    Stay,
}

/// Returns the watermark after a step. A step never moves it below `floor` or above the highest watermark.
pub(crate) fn watermark_after_step(watermark: f64, step: WatermarkStep, floor: f64) -> f64 {
    match step {
        WatermarkStep::Lower { factor } | WatermarkStep::Raise { factor } => {
            (watermark * factor).max(floor).min(MAX_WATERMARK)
        }
        WatermarkStep::Stay => watermark,
    }
}

/// Returns a watermark that a peer reported, limited to the range of this gateway's own watermark.
pub(crate) fn bounded_watermark(reported: f64, floor: f64) -> f64 {
    reported.clamp(floor, MAX_WATERMARK)
}

/// Returns the watermark's step in broadcast mode. The watermark rises only if requests wait, or waited for
/// the band.
pub(crate) fn watermark_step_in_broadcast_mode(input: &WatermarkInput) -> WatermarkStep {
    let age_fraction = AGE_WEIGHT * input.typical_attempt_age_ms / input.shortest_objective_ms;
    choose_step(
        input.objective_fraction.max(age_fraction),
        LOWER_ABOVE_OBJECTIVE_FRACTION,
        RAISE_BELOW_OBJECTIVE_FRACTION,
        input.was_blocked,
    )
}

/// Returns the watermark's step in a large fleet. The watermark also rises if the band is so full that
/// requests require dispatch credit.
pub(crate) fn watermark_step_in_large_fleet(input: &WatermarkInput, band: &LargeFleetBand) -> WatermarkStep {
    let age_fraction = LARGE_FLEET_AGE_WEIGHT * input.typical_attempt_age_ms / input.shortest_objective_ms;
    let lower_above = LARGE_FLEET_THRESHOLD_FACTOR * LOWER_ABOVE_OBJECTIVE_FRACTION;
    let raise_below = LARGE_FLEET_THRESHOLD_FACTOR * RAISE_BELOW_OBJECTIVE_FRACTION;
    let is_needed = input.was_blocked || band.is_above_credit_threshold();
    choose_step(input.objective_fraction.max(age_fraction), lower_above, raise_below, is_needed)
}

/// Returns the step for a response time, given as a fraction of the latency objective like both thresholds:
/// the watermark falls above `lower_above`, and rises below `raise_below` if a rise is needed.
fn choose_step(
    objective_fraction: f64,
    lower_above: f64,
    raise_below: f64,
    is_needed: bool,
) -> WatermarkStep {
    if objective_fraction > lower_above {
        WatermarkStep::Lower { factor: FALL_FACTOR }
    } else if objective_fraction < raise_below && is_needed {
        WatermarkStep::Raise { factor: 1.0 + MAX_RISE_FRACTION * (1.0 - objective_fraction / raise_below) }
    } else {
        WatermarkStep::Stay
    }
}
