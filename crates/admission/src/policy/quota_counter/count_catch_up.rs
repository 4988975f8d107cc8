//! Catch-up of a count that lags behind the rate of its plan, and what happens when two gateways catch up the
//! same count at once.
//!
//! A count is the total of the units that gateways added for a customer. The customer's tokens are the burst
//! and what the rate has added since the epoch began, less the total. While a customer is idle its total
//! stays, so its tokens would rise beyond the burst. A gateway that sees such a count adds the excess units
//! to it.
use crate::state::CatchUp;

/// Length of a count's epoch, in ms. When it ends, the count restarts from 0 under another name, because the
/// counter stores no name for longer.
pub(crate) const COUNT_EPOCH_MS: f64 = 60_000.0;

/// Fraction of the burst by which a count may lag. A smaller lag isn't worth a call to the counter.
const MAX_LAG_FRACTION: f64 = 0.25;

/// Fraction of a catch-up's units: if other gateways have meanwhile added more than this, one of them made
/// the same catch-up.
const DUPLICATE_CATCH_UP_FRACTION: f64 = 0.5;

/// Returns the units to add to a count so that its customer has no more tokens than the burst, or `None` if
/// the count lags too little. `tokens` is what the customer could spend by its count, which may exceed the
/// burst.
pub(crate) fn catch_up_units(burst_units: f64, tokens: f64) -> Option<f64> {
    let lag_units = tokens - burst_units;
    (lag_units > MAX_LAG_FRACTION * burst_units).then_some(lag_units)
}

/// Returns whether another gateway made the same catch-up at the same time. `total` is the count's total
/// after this gateway's catch-up.
///
/// Guards against two gateways that see the same lag: after both catch-ups, the customer's requests would be
/// rejected until the rate has made up for one of them. What requests add meanwhile is far less than a
/// catch-up, so half a catch-up tells the two cases apart.
pub(crate) fn is_duplicate_catch_up(catch_up: CatchUp, total: f64) -> bool {
    total - catch_up.seen_total - catch_up.units > DUPLICATE_CATCH_UP_FRACTION * catch_up.units
}
