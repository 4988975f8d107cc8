//! The in-flight band: its watermark, its bounds, and whether the stock lets a request be sent.
use crate::gateway::Gateway;
use crate::id::RequestId;
use crate::policy::coordination::PEER_TIMEOUT_MS;
use crate::policy::outlier::HUNG_STALL_RATIO;
use crate::policy::response_time::CLEARLY_SLOW;
use crate::state::{Band, BandLoad, BandPosition, Endpoint};

/// Attempts in flight per ready endpoint where the band starts, the paper's `watermarkPerBackend`. The
/// watermark never falls below it, however slow the responses.
const MIN_WATERMARK: f64 = 2.0;

/// In a large fleet it is this many times as high. Many gateways that place requests by chance do so
/// unevenly: at 2 an endpoint of two cores is idle an eighth of the time, half idle a quarter; at 4 seldom.
const LARGE_FLEET_FACTOR: f64 = 2.0;

/// The watermark never rises beyond this.
pub(crate) const MAX_WATERMARK: f64 = 64.0;

/// The bounds' distance from the middle, as a part of it: the paper's `percentageDeviationForBounds`.
const BAND_DEVIATION: f64 = 0.1;

/// Time between two steps of the watermark, in latency objectives: responses must show the last one's effect.
const WATERMARK_STEP_OBJECTIVES: f64 = 0.12;

/// Response time, in latency objectives, below which the watermark may rise.
const PROMPT_FRACTION: f64 = 0.26;

/// Most that the watermark rises in a step, as responses take no time at all; less as they take longer.
const MAX_WATERMARK_RISE: f64 = 0.4;

/// Response time, in latency objectives, above which the watermark falls, and the factor by which it does.
const SLUGGISH_FRACTION: f64 = 0.36;
const WATERMARK_FALL: f64 = 0.93;

/// Weight of the age of attempts in flight against the response time: they show trouble before responses do.
/// In a large fleet the age is in-flight over response rate, which stalled attempts swell: it counts less.
const AGE_WEIGHT: f64 = 1.5;
const LARGE_FLEET_AGE_WEIGHT: f64 = 0.9;

/// Factor on the prompt and sluggish fractions in a large fleet. Endpoints are drawn by chance there, so that
/// response times spread more at the same load.
const LARGE_FLEET_LATENCY_EASE: f64 = 1.5;

/// Part of the band's middle above which the endpoints are saturated.
const SATURATED_FILL: f64 = 0.5;

/// Part of the band's middle under which a large fleet sends freely. Above it each gateway sends at its even
/// part of the rate that keeps the band filled. Gossip is late: a gate for all at once would swing.
const UNGATED_FILL: f64 = 0.6;

/// Bounds of the refill rate of dispatch credit against the even part: more while the stock is low.
const MAX_REFILL_FACTOR: f64 = 3.0;
const MIN_REFILL_FACTOR: f64 = 0.3;

/// Dispatch credit at the start: the first request need not wait for a refill.
pub(crate) const INITIAL_DISPATCH_CREDIT: f64 = 1.0;

/// Overdraft that a request of unbounded priority weight may take, and the largest of all requests together.
const CREDIT_OVERDRAFT: f64 = 1.5;
pub(crate) const MAX_CREDIT_OVERDRAFT: f64 = 1.0;

/// A priority weight of 0 counts as this where it divides.
const MIN_WEIGHT_DIVISOR: f64 = 1e-9;

impl Gateway {
    /// The watermark that the band starts with and never falls below.
    pub(crate) fn watermark_floor(&self) -> f64 {
        MIN_WATERMARK * if self.coordination.is_broadcast() { 1.0 } else { LARGE_FLEET_FACTOR }
    }

    /// The endpoints that the band counts, and this gateway's attempts in flight at them. Work on endpoints
    /// that failed is left out, else it would swell the stock and hold every request back.
    pub(crate) fn band_load(&self) -> BandLoad {
        let counted = |endpoint: &&Endpoint| self.outliers.is_correlated_failure() || !self.is_lost(endpoint);
        let endpoints = self.endpoints.iter().filter(counted);
        BandLoad::sum(endpoints.map(|endpoint| (endpoint, self.send_fraction(endpoint))))
    }

    /// Whether an endpoint's work is taken for lost. A short silence is no proof: leaving that work out would
    /// let slow endpoints be flooded.
    fn is_lost(&self, endpoint: &Endpoint) -> bool {
        let now_ms = self.clock.now_ms();
        let health = &endpoint.health;
        let backing_off = health.consecutive_failures() > 0 && health.is_ejected(now_ms);
        // Work at clearly slow endpoints would swell the stock as if the others were full.
        let slow = !self.coordination.is_broadcast() && self.kind_deviation(endpoint).excess > CLEARLY_SLOW;
        let ejected = backing_off || endpoint.observed.is_any_class_ejected(now_ms);
        let stalled = self.is_unresponsive(endpoint) || self.stall_ratio(endpoint) > HUNG_STALL_RATIO;
        endpoint.is_gone() || ejected || slow || stalled
    }

    /// The band by the counts that gateways report to each other.
    fn reported_band(&self) -> Band {
        let live = self.coordination.live_peers(self.clock.now_ms(), PEER_TIMEOUT_MS);
        Band::from_reports(self.band_load(), self.band.watermark(), live)
    }

    /// The stock of a large fleet, as gossip has it, over the band's middle.
    fn band_fill(&self) -> f64 {
        let middle = self.band.watermark() * self.band.ready_capacity();
        self.fleet_means.received().stock * self.settings.gateways as f64 / middle.max(1.0)
    }

    /// Whether a large fleet's stock is so low that requests are sent freely.
    pub(crate) fn band_is_ungated(&self) -> bool {
        self.band_fill() < UNGATED_FILL
    }

    /// May this request be sent, as far as the stock goes?
    pub(crate) fn band_position(&self, id: RequestId) -> BandPosition {
        if self.coordination.is_broadcast() {
            self.position_by_reports()
        } else {
            self.position_by_credit(id)
        }
    }

    /// A small fleet's answer: by the bounds. A gateway with less in flight than its even part of the band
    /// counts as under them whatever the stock, so that peers with a higher watermark can't lock it out.
    fn position_by_reports(&self) -> BandPosition {
        let band = self.reported_band();
        let (lower, upper) = (band.middle * (1.0 - BAND_DEVIATION), band.middle * (1.0 + BAND_DEVIATION));
        let entitled = band.own < lower / band.gateways;
        let is_under = |bound: f64| entitled || band.stock < bound;
        BandPosition { under_lower: is_under(lower), under_upper: is_under(upper) }
    }

    /// A large fleet's answer: by dispatch credit, unless the stock is low.
    fn position_by_credit(&self, id: RequestId) -> BandPosition {
        let sendable = self.band.dispatch_credit() >= self.credit_required(id) || self.band_is_ungated();
        BandPosition { under_lower: sendable, under_upper: sendable }
    }

    /// Dispatch credit that a request must find. The class of the lowest priority weight needs a full credit;
    /// higher weights may overdraw, so that low ones wait first while credit is short.
    fn credit_required(&self, id: RequestId) -> f64 {
        let lowest = self.settings.lowest_priority_weight();
        let active = self.requests.get(id);
        let own = active.map_or(lowest, |a| self.settings.class(a.request.class).priority_weight);
        1.0 - CREDIT_OVERDRAFT * (1.0 - lowest / own.max(MIN_WEIGHT_DIVISOR)).max(0.0)
    }

    /// Adds the dispatch credit of some seconds: this gateway's even part of the band per mean response time.
    pub(crate) fn refill_dispatch_credit(&mut self, seconds: f64) {
        let even_part = self.band.watermark() * self.band.ready_capacity() / self.settings.gateways as f64;
        let mean_response_s = self.latency.mean_response_ms() / 1000.0;
        let factor = (MAX_REFILL_FACTOR - (MAX_REFILL_FACTOR - 1.0) * self.band_fill())
            .clamp(MIN_REFILL_FACTOR, MAX_REFILL_FACTOR);
        let amount = factor * even_part / mean_response_s * seconds;
        self.band.add_dispatch_credit(amount, 1.0f64.max(even_part));
    }

    /// Notes whether the endpoints have much of what the band lets them have.
    pub(crate) fn measure_saturation(&mut self) {
        let saturated = if self.coordination.is_broadcast() {
            let band = self.reported_band();
            band.stock > SATURATED_FILL * band.middle
        } else {
            self.band_fill() > SATURATED_FILL
        };
        self.band.set_saturated(saturated);
    }

    /// Moves the watermark, where a step is due: down while responses are slow, up while they are prompt and
    /// the band holds requests back.
    pub(crate) fn step_watermark(&mut self) {
        let objective_ms = self.settings.shortest_objective_ms();
        if self.band.since_step_ms(self.clock.now_ms()) < objective_ms * WATERMARK_STEP_OBJECTIVES {
            return;
        }
        let was_blocked = self.band.begin_step(self.clock.now_ms());
        let broadcast = self.coordination.is_broadcast();
        let (age_weight, ease) =
            if broadcast { (AGE_WEIGHT, 1.0) } else { (LARGE_FLEET_AGE_WEIGHT, LARGE_FLEET_LATENCY_EASE) };
        let age_fraction = age_weight * self.latency.typical_age_ms() / objective_ms;
        let response = self.latency.objective_fraction().max(age_fraction);
        let needed = was_blocked || !broadcast && self.band_fill() > UNGATED_FILL;
        if response > ease * SLUGGISH_FRACTION {
            self.band.scale_watermark(WATERMARK_FALL, self.watermark_floor(), MAX_WATERMARK);
        } else if response < ease * PROMPT_FRACTION && needed {
            let rise = 1.0 + MAX_WATERMARK_RISE * (1.0 - response / (ease * PROMPT_FRACTION));
            self.band.scale_watermark(rise, self.watermark_floor(), MAX_WATERMARK);
        }
    }
}
