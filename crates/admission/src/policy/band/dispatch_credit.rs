//! The band in a large fleet: the fleet's attempts in flight as far as a gateway knows them, and the dispatch
//! credit that each gateway earns.
use crate::policy::band::band_bounds::LOADED_FILL;
use crate::state::BandPosition;

/// Fraction of the band's middle below which gateways of a large fleet send without credit. Above it each
/// gateway sends at an equal share of the rate that keeps the band filled. The number of attempts in flight
/// arrives late by gossip: if it alone stopped and started all gateways at once, it would oscillate.
const CREDIT_THRESHOLD_FILL: f64 = 0.6;

/// Highest refill rate of dispatch credit, as a multiple of the rate at the band's middle. It applies while
/// the band is empty. From there the rate falls linearly with the fill, through 1 at the band's middle.
const MAX_REFILL_FACTOR: f64 = 3.0;

/// Lowest refill rate of dispatch credit, as a multiple of the rate at the band's middle. It applies while
/// the band is overfull, from a fill of 1.35 on, at which the linear fall ends.
const MIN_REFILL_FACTOR: f64 = 0.3;

/// Dispatch credit at a gateway's start, in requests: its first request need not wait for a refill.
pub(crate) const INITIAL_DISPATCH_CREDIT: f64 = 1.0;

/// Smallest limit of saved dispatch credit, in requests. Without it a gateway whose equal share of the band
/// is less than one attempt could never send a request of the lowest priority weight while the band is above
/// the credit threshold.
const MIN_CREDIT_LIMIT: f64 = 1.0;

/// Dispatch credit that a request spends. Above the credit threshold, a request of the lowest priority weight
/// is dispatched only if the gateway has at least this much credit.
const CREDIT_PER_REQUEST: f64 = 1.0;

/// Largest reduction of the credit that a request requires, in requests: the limit for an unbounded priority
/// weight. It is larger than `CREDIT_PER_REQUEST`, so that the lowest credit that a request can require is
/// the difference, -0.5.
const MAX_CREDIT_REDUCTION: f64 = 1.5;

/// Largest overdraft of a gateway's dispatch credit, in requests: the lowest credit after a request was sent
/// is minus this value.
const MAX_CREDIT_OVERDRAFT: f64 = 1.0;

/// Smallest priority weight that is used as a divisor; a smaller one is replaced by it.
const MIN_WEIGHT_DIVISOR: f64 = 1e-9;

/// Smallest middle of the band that is used as a divisor, in attempts in flight; a smaller one is replaced by
/// it.
const MIN_MIDDLE_DIVISOR: f64 = 1.0;

/// The band of a large fleet, as one gateway knows it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LargeFleetBand {
    /// Mean number of attempts in flight per gateway, as received by gossip or else assumed.
    pub(crate) mean_in_flight: f64,
    /// Number of gateways in the fleet.
    pub(crate) gateways: usize,
    /// Attempts in flight per ready endpoint at the band's middle.
    pub(crate) watermark: f64,
    /// Number of ready endpoints; an endpoint that is warming up counts as a fraction.
    pub(crate) ready_capacity: f64,
}

impl LargeFleetBand {
    /// Returns the number of attempts in flight that the band is centred on.
    fn middle(&self) -> f64 {
        self.watermark * self.ready_capacity
    }

    /// Returns the fleet's attempts in flight as a fraction of the band's middle.
    pub(crate) fn fill(&self) -> f64 {
        self.mean_in_flight * self.gateways as f64 / self.middle().max(MIN_MIDDLE_DIVISOR)
    }

    /// Returns the number of attempts in flight that each gateway has at the band's middle.
    fn middle_per_gateway(&self) -> f64 {
        self.middle() / self.gateways as f64
    }

    /// Returns whether the fleet has so few attempts in flight that requests are sent without credit.
    pub(crate) fn is_below_credit_threshold(&self) -> bool {
        self.fill() < CREDIT_THRESHOLD_FILL
    }

    /// Returns whether the fleet has so many attempts in flight that a lack of credit may hold requests back,
    /// which a higher band would let pass.
    pub(crate) fn is_above_credit_threshold(&self) -> bool {
        self.fill() > CREDIT_THRESHOLD_FILL
    }

    /// Returns whether the endpoints are loaded, that is, whether the fleet's attempts in flight exceed half
    /// of the band's middle.
    pub(crate) fn is_loaded(&self) -> bool {
        self.fill() > LOADED_FILL
    }
}

/// Returns the band's position for a request in a large fleet, by the dispatch credit that the gateway has
/// and the credit that the request requires. The two bounds coincide: a request is under both if there is
/// enough credit or if the band is below the credit threshold, and under neither otherwise.
pub(crate) fn position_in_large_fleet(
    band: &LargeFleetBand,
    dispatch_credit: f64,
    credit_required: f64,
) -> BandPosition {
    if dispatch_credit >= credit_required || band.is_below_credit_threshold() {
        BandPosition::BelowLowerBound
    } else {
        BandPosition::AtOrAboveUpperBound
    }
}

/// Returns the dispatch credit that a request requires. A request of the lowest priority weight requires the
/// credit of a whole request. A request of a higher weight requires less, down to a credit below 0, so that
/// requests of low weight are the first to wait while credit is short.
pub(crate) fn credit_required(priority_weight: f64, lowest_priority_weight: f64) -> f64 {
    let relative = lowest_priority_weight / priority_weight.max(MIN_WEIGHT_DIVISOR);
    CREDIT_PER_REQUEST - MAX_CREDIT_REDUCTION * (1.0 - relative).max(0.0)
}

/// Returns the dispatch credit after `seconds` of refill, in requests. In one mean response time a gateway
/// earns an equal share of the band's middle; it earns more while the fleet has few attempts in flight, and
/// less while it has many. A gateway saves at most that share, or one request if the share is smaller.
pub(crate) fn credit_after_refill(
    dispatch_credit: f64,
    band: &LargeFleetBand,
    mean_response_ms: f64,
    seconds: f64,
) -> f64 {
    let mean_response_seconds = mean_response_ms / 1000.0;
    let middle_per_gateway = band.middle_per_gateway();
    let factor = (MAX_REFILL_FACTOR - (MAX_REFILL_FACTOR - 1.0) * band.fill())
        .clamp(MIN_REFILL_FACTOR, MAX_REFILL_FACTOR);
    let earned = factor * middle_per_gateway / mean_response_seconds * seconds;
    (dispatch_credit + earned).min(MIN_CREDIT_LIMIT.max(middle_per_gateway))
}

/// Returns the dispatch credit after a request was sent, in requests. The credit never falls below minus the
/// largest overdraft.
pub(crate) fn credit_after_send(dispatch_credit: f64) -> f64 {
    (dispatch_credit - CREDIT_PER_REQUEST).max(-MAX_CREDIT_OVERDRAFT)
}
