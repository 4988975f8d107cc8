//! Broadcast mode: what a peer's report about a customer changes in this gateway's token bucket for it.
use crate::state::ReportedConsumption;

/// Returns the tokens of a quota after a peer's report of what it consumed. `max_overdraft_units` is how far
/// below 0 a report may reduce them.
pub(crate) fn quota_tokens_after_report(
    tokens: f64,
    consumption: ReportedConsumption,
    burst_units: f64,
    max_overdraft_units: f64,
) -> f64 {
    match consumption {
        ReportedConsumption::SinceLastReport { consumed_units } => {
            (tokens - consumed_units).clamp(-max_overdraft_units, burst_units)
        }
        ReportedConsumption::Unknown { fill } => tokens.min(fill * burst_units),
    }
}

/// Returns a quota's tokens as a fraction of the burst, as reported to peers; 1 if the plan has no quota.
pub(crate) fn quota_fill(tokens: f64, burst_units: f64) -> f64 {
    if burst_units > 0.0 {
        tokens / burst_units
    } else {
        1.0
    }
}
