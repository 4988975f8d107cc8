//! When a count is raised that is lower than the rate would have it, and what happens when two gateways raise
//! it at once.
//!
//! A count only grows by what is sent. The rate would let an idle customer save up more than its burst, so a
//! gateway that sees such a count adds the units that are too many.
use crate::state::CatchUp;

/// Length of a count's epoch in ms. After it the count restarts from 0 under another name, because the
/// counter stores no name for longer.
pub(crate) const COUNT_EPOCH_MS: f64 = 60_000.0;

/// Fraction of the burst by which a count may lag. A smaller lag is not worth a call to the counter.
const MAX_LAG_FRACTION: f64 = 0.25;

/// A raise was doubled where others added more than this fraction of its units meanwhile.
const DOUBLE_RAISE_FRACTION: f64 = 0.5;

/// Units by which to raise a count that shows these tokens; `None` where it lags too little. `tokens` may be
/// more than the burst, and is then what the customer could spend.
pub(crate) fn catch_up_units(burst_units: f64, tokens: f64) -> Option<f64> {
    let lag_units = tokens - burst_units;
    (lag_units > MAX_LAG_FRACTION * burst_units).then_some(lag_units)
}

/// Whether another gateway raised the count at the same time, given the total after this gateway's raise.
///
/// Guards against two gateways that see the same lag: with both raises the customer would be rejected until
/// the rate has made up for one of them. What requests add meanwhile is far less than a raise, so half of one
/// tells the two cases apart.
pub(crate) fn is_double_raise(raise: CatchUp, total: f64) -> bool {
    total - raise.seen_total - raise.units > DOUBLE_RAISE_FRACTION * raise.units
}
