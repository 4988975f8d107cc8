//! In a large fleet: the stock by gossip, and the dispatch credit that each gateway earns by it.
use crate::policy::band::band_bounds::SATURATED_FILL;
use crate::state::BandPosition;

/// Fraction of the band's middle below which gateways of a large fleet send without credit. Above it each
/// sends at an even fraction of the rate that keeps the band filled. The stock that gossip brings is old: if
/// it alone stopped and started all gateways at once, the stock would swing.
const UNGATED_FILL: f64 = 0.6;

/// Highest refill rate of dispatch credit, as a multiple of the rate at the band's middle: that of
/// an empty band.
const MAX_REFILL_FACTOR: f64 = 3.0;

/// Lowest refill rate of dispatch credit, as a multiple of the rate at the band's middle: that of a
/// band that is over-full.
const MIN_REFILL_FACTOR: f64 = 0.3;

/// Dispatch credit at the start, in requests: the first one need not wait for a refill.
pub(crate) const INITIAL_DISPATCH_CREDIT: f64 = 1.0;

/// Least limit of the dispatch credit that is saved up, in requests: else a gateway that may have less
/// than one attempt in flight could never send.
const MIN_CREDIT_LIMIT: f64 = 1.0;

/// Credit that one request needs where its class has the lowest priority weight.
const FULL_CREDIT: f64 = 1.0;

/// Overdraft of dispatch credit that a request of unbounded priority weight may take, in requests.
const CREDIT_OVERDRAFT: f64 = 1.5;

/// Largest overdraft of dispatch credit of all requests together, in requests.
const MAX_CREDIT_OVERDRAFT: f64 = 1.0;

/// A priority weight counts as this at least where it divides.
const MIN_WEIGHT_DIVISOR: f64 = 1e-9;

/// The band's middle counts as this many attempts at least where it divides.
const MIN_MIDDLE: f64 = 1.0;

/// The band of a large fleet, as one gateway knows it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LargeFleetBand {
    /// Attempts in flight of the mean gateway, by gossip.
    pub(crate) mean_stock: f64,
    /// Gateways of the fleet.
    pub(crate) gateways: usize,
    /// Attempts in flight per ready endpoint at the band's middle.
    pub(crate) watermark: f64,
    /// Ready endpoints; one that is warming up counts as a fraction.
    pub(crate) ready_capacity: f64,
}

impl LargeFleetBand {
    /// The stock that the band is centred on.
    fn middle(&self) -> f64 {
        self.watermark * self.ready_capacity
    }

    /// The fleet's stock as a fraction of the band's middle.
    pub(crate) fn fill(&self) -> f64 {
        self.mean_stock * self.gateways as f64 / self.middle().max(MIN_MIDDLE)
    }

    /// Attempts in flight of each gateway at the band's middle.
    fn middle_per_gateway(&self) -> f64 {
        self.middle() / self.gateways as f64
    }

    /// Whether the stock is so low that requests are sent without credit.
    pub(crate) fn is_ungated(&self) -> bool {
        self.fill() < UNGATED_FILL
    }

    /// Whether the stock is so high that more would be sent if the band were higher.
    pub(crate) fn is_gated(&self) -> bool {
        self.fill() > UNGATED_FILL
    }

    /// Whether the endpoints are saturated.
    pub(crate) fn is_saturated(&self) -> bool {
        self.fill() > SATURATED_FILL
    }
}

/// The position of a request in a large fleet, by the dispatch credit that there is and that it requires.
/// There is one bound only: a request of enough credit, or any while the band is ungated, is under both.
pub(crate) fn position_in_large_fleet(
    band: &LargeFleetBand,
    dispatch_credit: f64,
    credit_required: f64,
) -> BandPosition {
    if dispatch_credit >= credit_required || band.is_ungated() {
        BandPosition::BelowLowerBound
    } else {
        BandPosition::AtOrAboveUpperBound
    }
}

/// Dispatch credit that a request requires. The class of the lowest priority weight needs a full credit; one
/// of a higher weight may overdraw, so that requests of low weight are the first to wait while credit is
/// short.
pub(crate) fn credit_required(priority_weight: f64, lowest_priority_weight: f64) -> f64 {
    let relative = lowest_priority_weight / priority_weight.max(MIN_WEIGHT_DIVISOR);
    FULL_CREDIT - CREDIT_OVERDRAFT * (1.0 - relative).max(0.0)
}

/// The dispatch credit after some seconds of refill, in requests. In a mean response time a gateway earns an
/// even fraction of the band's middle, more while the stock is low and less while it is high. It saves up
/// that fraction at most.
pub(crate) fn credit_after_refill(
    dispatch_credit: f64,
    band: &LargeFleetBand,
    mean_response_ms: f64,
    seconds: f64,
) -> f64 {
    let mean_response_s = mean_response_ms / 1000.0;
    let middle_per_gateway = band.middle_per_gateway();
    let factor = (MAX_REFILL_FACTOR - (MAX_REFILL_FACTOR - 1.0) * band.fill())
        .clamp(MIN_REFILL_FACTOR, MAX_REFILL_FACTOR);
    let earned = factor * middle_per_gateway / mean_response_s * seconds;
    (dispatch_credit + earned).min(MIN_CREDIT_LIMIT.max(middle_per_gateway))
}

/// The dispatch credit after a request was sent, in requests.
pub(crate) fn credit_after_send(dispatch_credit: f64) -> f64 {
    (dispatch_credit - FULL_CREDIT).max(-MAX_CREDIT_OVERDRAFT)
}
