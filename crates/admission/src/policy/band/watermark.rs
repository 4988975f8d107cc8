//! When the watermark rises and falls.
use crate::policy::band::dispatch_credit::LargeFleetBand;

/// Least watermark in broadcast mode, in attempts in flight per ready endpoint, however slow the responses:
/// `watermarkPerBackend` of the published design that the queue follows. The band starts with it.
const MIN_WATERMARK: f64 = 2.0;

/// Factor on the least watermark in a large fleet. Gateways that select endpoints at random spread attempts
/// unevenly, so that at the same mean more endpoints are idle.
const LARGE_FLEET_FACTOR: f64 = 2.0;

/// Highest watermark, in attempts in flight per ready endpoint.
const MAX_WATERMARK: f64 = 64.0;

/// Time between two steps of the watermark, in latency objectives: responses must show the last step's
/// effect.
const WATERMARK_STEP_OBJECTIVES: f64 = 0.12;

/// Response time below which the watermark may rise, as a fraction of the latency objective.
const PROMPT_FRACTION: f64 = 0.26;

/// Most that the watermark rises in a step, as a fraction of it: if responses took no time at all.
const MAX_WATERMARK_RISE: f64 = 0.4;

/// Response time above which the watermark falls, as a fraction of the latency objective.
const SLUGGISH_FRACTION: f64 = 0.36;

/// Factor by which the watermark falls in a step.
const WATERMARK_FALL: f64 = 0.93;

/// Weight of the age of attempts in flight against the response time, in broadcast mode. The age shows a
/// fault before responses do.
const AGE_WEIGHT: f64 = 1.5;

/// The same in a large fleet. The age is the stock over the response rate there, which stalled attempts
/// raise, so it counts less.
const LARGE_FLEET_AGE_WEIGHT: f64 = 0.9;

/// Factor on the prompt and the sluggish fraction in a large fleet: endpoints are drawn at random there, so
/// that response times spread more at the same load.
const LARGE_FLEET_LATENCY_EASE: f64 = 1.5;

/// The watermark that the band starts with and never falls below, in broadcast mode.
pub(crate) fn watermark_floor_in_broadcast_mode() -> f64 {
    MIN_WATERMARK
}

/// The same in a large fleet.
pub(crate) fn watermark_floor_in_large_fleet() -> f64 {
    MIN_WATERMARK * LARGE_FLEET_FACTOR
}

/// Whether a step of the watermark is due, this long after the last one.
pub(crate) fn watermark_step_is_due(since_step_ms: f64, shortest_objective_ms: f64) -> bool {
    since_step_ms >= shortest_objective_ms * WATERMARK_STEP_OBJECTIVES
}

/// What a step of the watermark goes by.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WatermarkInput {
    /// Smoothed response time, as a fraction of the latency objective.
    pub(crate) response_fraction: f64,
    /// Typical age of attempts in flight, in ms.
    pub(crate) typical_age_ms: f64,
    /// Shortest latency objective of all classes, in ms.
    pub(crate) shortest_objective_ms: f64,
    /// Whether requests waited for the band since the last step.
    pub(crate) was_blocked: bool,
}

/// A step of the watermark.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum WatermarkStep {
    /// Responses are slow: the watermark is multiplied by `factor`, below 1.
    Lower { factor: f64 },
    /// Responses are prompt and the band makes requests wait: it is multiplied by `factor`, above 1.
    Raise { factor: f64 },
    /// It stays.
    Stay,
}

/// The watermark after a step.
pub(crate) fn watermark_after_step(watermark: f64, step: WatermarkStep, floor: f64) -> f64 {
    match step {
        WatermarkStep::Lower { factor } | WatermarkStep::Raise { factor } => {
            (watermark * factor).max(floor).min(MAX_WATERMARK)
        }
        WatermarkStep::Stay => watermark,
    }
}

/// A watermark that a peer reported, within the bounds of this gateway's own.
pub(crate) fn bounded_watermark(reported: f64, floor: f64) -> f64 {
    reported.clamp(floor, MAX_WATERMARK)
}

/// The watermark's step in broadcast mode. It rises only where requests waited for the band.
pub(crate) fn watermark_step_in_broadcast_mode(input: &WatermarkInput) -> WatermarkStep {
    let age_fraction = AGE_WEIGHT * input.typical_age_ms / input.shortest_objective_ms;
    step(input.response_fraction.max(age_fraction), SLUGGISH_FRACTION, PROMPT_FRACTION, input.was_blocked)
}

/// The watermark's step in a large fleet. It also rises where the band is so full that credit gates requests.
pub(crate) fn watermark_step_in_large_fleet(input: &WatermarkInput, band: &LargeFleetBand) -> WatermarkStep {
    let age_fraction = LARGE_FLEET_AGE_WEIGHT * input.typical_age_ms / input.shortest_objective_ms;
    let sluggish = LARGE_FLEET_LATENCY_EASE * SLUGGISH_FRACTION;
    let prompt = LARGE_FLEET_LATENCY_EASE * PROMPT_FRACTION;
    let is_needed = input.was_blocked || band.is_gated();
    step(input.response_fraction.max(age_fraction), sluggish, prompt, is_needed)
}

/// The step for a response time: down above `sluggish`, up below `prompt` where that is needed.
fn step(response_fraction: f64, sluggish: f64, prompt: f64, is_needed: bool) -> WatermarkStep {
    if response_fraction > sluggish {
        WatermarkStep::Lower { factor: WATERMARK_FALL }
    } else if response_fraction < prompt && is_needed {
        WatermarkStep::Raise { factor: 1.0 + MAX_WATERMARK_RISE * (1.0 - response_fraction / prompt) }
    } else {
        WatermarkStep::Stay
    }
}
