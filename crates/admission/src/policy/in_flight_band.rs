//! The in-flight stock band: watermark, bounds, and who is under them.
use crate::gateway::Gateway;
use crate::id::RequestId;
use crate::policy::coordination::PEER_TIMEOUT_MS;
use crate::policy::outlier_detection::{CLEARLY_SLOW, HUNG_STALL_RATIO};

/// The paper's watermark for each backend, where the band starts.
pub(crate) const INITIAL_WATERMARK: f64 = 2.0;

/// The band never closes below this for each endpoint, however slow the answers.
pub(crate) const MIN_WATERMARK: f64 = 2.0;

/// Both are so many times as high in a wide fleet. What many gateways place by chance lies unevenly: at 2 a
/// endpoint of two cores stands empty an eighth of the time and half empty a quarter; at 4 it rarely does.
pub(crate) const GOSSIP_BAND_FACTOR: f64 = 2.0;

/// Nor opens beyond this.
pub(crate) const MAX_WATERMARK: f64 = 64.0;

/// The paper's deviation of the band's bounds from the watermark.
pub(crate) const BAND_DEVIATION: f64 = 0.1;

/// Residence, in parts of the aim, below which answers are prompt and the band may rise.
pub(crate) const PROMPT_FRACTION: f64 = 0.26;

/// Most that the watermark rises in a step, at no residence at all: less as answers are less prompt.
pub(crate) const MAX_WATERMARK_RISE: f64 = 0.4;

/// Residence, in parts of the aim, above which answers near the aim and the band falls.
pub(crate) const SLUGGISH_FRACTION: f64 = 0.36;

/// In a wide fleet endpoints are drawn by chance, so that answers spread more at the same load: the two
/// bounds are eased by this, and what is out over what is answered, which stuck attempts can swell, counts
/// for less.
pub(crate) const GOSSIP_LATENCY_EASE: f64 = 1.5;
pub(crate) const GOSSIP_AGE_WEIGHT: f64 = 0.9;

/// Time between two steps of the watermark, in parts of the aim: answers must have time to tell the effect.
pub(crate) const WATERMARK_STEP_OBJECTIVES: f64 = 0.12;

/// Part of the band's middle from which the endpoints are pressed.
pub(crate) const SATURATED_FILL: f64 = 0.5;

/// Part of the band's middle under which a wide fleet sends freely. Above it each gateway sends at its even
/// part of the rate that keeps the band filled, more or less as the stock is under or over: gossip is late,
/// and a gate that opens or shuts for everyone at once swings.
pub(crate) const UNGATED_FILL: f64 = 0.6;
pub(crate) const MAX_REFILL_FACTOR: f64 = 3.0;
pub(crate) const MIN_REFILL_FACTOR: f64 = 0.3;

/// Sends not yet earned that a request of boundless worth may take, and how many may be taken in all.
pub(crate) const CREDIT_OVERDRAFT: f64 = 1.5;
pub(crate) const MAX_CREDIT_OVERDRAFT: f64 = 1.0;

impl Gateway {
    /// Ready endpoints as the band counts them, and own attempts out on them. Work stuck on endpoints that
    /// failed is left out of both, else it would swell the stock and hold everyone; a short silence is no
    /// proof, and leaving that work out would let the slow be flooded.
    pub(crate) fn band_load(&self) -> (f64, u32) {
        let (mut parts, mut out) = (0.0, 0);
        for endpoint in self.endpoints.iter() {
            let backing_off = endpoint.consecutive_failures() > 0 && endpoint.is_ejected(self.clock.now_ms);
            let marked = endpoint.is_any_class_ejected(self.clock.now_ms);
            // What is out at the clearly slow swells the stock as if the rest were full.
            let slow =
                !self.coordination.is_broadcast() && self.kind_deviation(endpoint).excess > CLEARLY_SLOW;
            let failed =
                endpoint.is_gone() || backing_off || marked || slow || self.is_unresponsive(endpoint);
            let lost = failed || self.stall_ratio(endpoint) > HUNG_STALL_RATIO;
            if lost && !self.outliers.is_correlated_failure() {
                continue;
            }
            out += endpoint.in_flight().len() as u32;
            if endpoint.is_ready() {
                parts += self.send_fraction(endpoint);
            }
        }
        (parts, out)
    }

    /// Own stock, that of all, the band's middle, and how many gateways these are of.
    pub(crate) fn band(&self) -> (f64, f64, f64, f64) {
        let (parts, own) = self.band_load();
        let live =
            self.peers.by_index.values().filter(|p| self.clock.now_ms - p.received_ms < PEER_TIMEOUT_MS);
        let (told, marks, count) = live.fold((0, self.band.watermark, 1.0), |(told, marks, count), p| {
            (told + p.stock, marks + p.watermark, count + 1.0)
        });
        (f64::from(own), f64::from(own + told), marks / count * parts, count)
    }

    /// Whether the stock lies under the lower and under the upper bound of the band. A gateway with less out
    /// than its even part of the band counts as under it whatever the stock: guards against being locked out
    /// by peers that see a wider band, or by totals that are wrong.
    pub(crate) fn under_band(&self, id: RequestId) -> (bool, bool) {
        if !self.coordination.is_broadcast() {
            let go = self.band.dispatch_credit >= self.credit_required(id)
                || self.band_fill(self.band.ready_capacity) < UNGATED_FILL;
            return (go, go);
        }
        let (own, stock, middle, count) = self.band();
        let (lower, upper) = (middle * (1.0 - BAND_DEVIATION), middle * (1.0 + BAND_DEVIATION));
        let entitled = own < lower / count;
        (entitled || stock < lower, entitled || stock < upper)
    }

    /// Earned sends that a request of a wide fleet must find: a whole one in the cheapest class, fewer where
    /// it is worth more, so that while sends are short the cheap wait for the dear.
    pub(crate) fn credit_required(&self, id: RequestId) -> f64 {
        let worth = |class: usize| self.settings.classes[class].priority_weight;
        let least = (0..self.settings.classes.len()).map(worth).fold(f64::INFINITY, f64::min);
        let own = self.requests.active.get(&id).map_or(least, |o| worth(o.request.class));
        1.0 - CREDIT_OVERDRAFT * (1.0 - least / own.max(1e-9)).max(0.0)
    }

    /// The least that the band lets each endpoint have.
    pub(crate) fn watermark_floor(&self) -> f64 {
        MIN_WATERMARK * if self.coordination.is_broadcast() { 1.0 } else { GOSSIP_BAND_FACTOR }
    }
}
