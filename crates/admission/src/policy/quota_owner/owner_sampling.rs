//! For which fraction of a customer's requests the owner of the quota wants quota requests. A customer far
//! over its quota would otherwise cost a message for each request that is rejected in the end.

/// Span over which an owner smooths the rates of units requested and granted, in seconds.
pub(crate) const QUOTA_RATE_SPAN_S: f64 = 1.5;

/// Where more is requested than granted, the owner wants quota requests for this multiple of the units it
/// grants.
const SAMPLING_HEADROOM: f64 = 1.5;

/// Smallest fraction of the requests that an owner wants quota requests for.
const MIN_SAMPLING_FRACTION: f64 = 0.05;

/// The fraction while the quota is ample: all requests.
pub(crate) const AMPLE_SAMPLING_FRACTION: f64 = 1.0;

/// The fraction received from an owner returns evenly to 1 over this time, in ms.
const SAMPLING_TTL_MS: f64 = 3000.0;

/// Units that a grant counts in the rate of grants when it is for a request that waited for a slot.
pub(crate) const SLOT_GRANT_UNITS: f64 = 1.0;

/// What the owner recently received and granted for one customer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QuotaDemand {
    /// Units requested per second, those of requests not sampled included; above 0.
    pub(crate) requested_per_second: f64,
    /// Units granted per second.
    pub(crate) granted_per_second: f64,
    /// Rate of the plan's quota in units per second.
    pub(crate) plan_rate_per_second: f64,
}

/// The fraction of the requests that the owner wants quota requests for.
pub(crate) fn wanted_sampling_fraction(demand: QuotaDemand) -> f64 {
    let wanted_per_second = SAMPLING_HEADROOM * demand.granted_per_second.max(demand.plan_rate_per_second);
    (wanted_per_second / demand.requested_per_second).clamp(MIN_SAMPLING_FRACTION, 1.0)
}

/// The fraction of the requests for which a gateway sends quota requests, given the fraction that the owner
/// sent and how long ago that was, in ms. It returns to 1, so that the owner receives all requests of a
/// customer again that is no longer over its quota.
pub(crate) fn sampling_fraction_at_age(sent_fraction: f64, age_ms: f64) -> f64 {
    let age = age_ms / SAMPLING_TTL_MS;
    1.0 - (1.0 - sent_fraction) * (1.0 - age).max(0.0)
}
