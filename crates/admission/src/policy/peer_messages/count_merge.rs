//! Broadcast mode: what a peer's report changes in this gateway's token bucket of a customer.
use crate::state::ReportedConsumption;

/// Tokens of the quota after a peer's report. `max_overdraft_units` is how far below 0 a report may bring
/// them.
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

/// The fraction of the burst that a quota holds, as it is reported to peers. A plan without a quota is full.
pub(crate) fn quota_fill(tokens: f64, burst_units: f64) -> f64 {
    if burst_units > 0.0 {
        tokens / burst_units
    } else {
        1.0
    }
}
