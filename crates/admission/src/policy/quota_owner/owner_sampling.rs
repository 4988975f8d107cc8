//! The fraction of a customer's requests for which other gateways send the owner quota requests. Without
//! sampling, a customer far over its quota would cost one message for each request that is rejected in the
//! end.

/// Time constant of the smoothed rates of units, of received messages and of good responses, in seconds. The
/// last of them is also kept in counter and isolated mode.
pub(crate) const RATE_TIME_CONSTANT_S: f64 = 1.5;

/// Units that the owner wants quota requests for, as a multiple of the units that it grants or that the
/// plan's rate adds, whichever is more. It matters when more units are requested than that.
const SAMPLING_HEADROOM: f64 = 1.5;

/// Lower bound of the fraction of requests that an owner wants quota requests for.
const MIN_SAMPLING_FRACTION: f64 = 0.05;

/// Sampling fraction while the quota is ample: a quota request is sent for every request.
pub(crate) const AMPLE_SAMPLING_FRACTION: f64 = 1.0;

/// Time, in ms, in which the fraction that an owner sent rises linearly back to 1.
const SAMPLING_TTL_MS: f64 = 3000.0;

/// Units that a grant to a waiting request adds to the rate of units granted: its own units are not stored.
pub(crate) const SLOT_GRANT_UNITS: f64 = 1.0;

/// Units that were recently requested and granted for one customer, as the owner knows them.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QuotaDemand {
    /// Units requested per second, including those of requests that were not sampled; above 0.
    pub(crate) requested_per_second: f64,
    /// Units granted per second.
    pub(crate) granted_per_second: f64,
    /// Rate of the plan's quota in units per second.
    pub(crate) plan_rate_per_second: f64,
}

/// Returns the fraction of a customer's requests that the owner wants quota requests for.
pub(crate) fn wanted_sampling_fraction(demand: QuotaDemand) -> f64 {
    let wanted_per_second = SAMPLING_HEADROOM * demand.granted_per_second.max(demand.plan_rate_per_second);
    (wanted_per_second / demand.requested_per_second).clamp(MIN_SAMPLING_FRACTION, 1.0)
}

/// Returns the fraction of a customer's requests for which a gateway sends quota requests. `sent_fraction` is
/// the fraction that the owner last sent, and `age_ms` is the time since then. The fraction returns to 1, so
/// that the owner again receives quota requests for all requests of a customer that is no longer over its
/// quota.
pub(crate) fn sampling_fraction_at_age(sent_fraction: f64, age_ms: f64) -> f64 {
    let age = age_ms / SAMPLING_TTL_MS;
    1.0 - (1.0 - sent_fraction) * (1.0 - age).max(0.0)
}
