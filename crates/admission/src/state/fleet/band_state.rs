//! The in-flight band's state: watermark, dispatch credit, and whether queued requests wait for it.
use crate::state::{BroadcastPeer, Endpoint};

/// The in-flight band of one gateway.
#[derive(Debug, Default)]
pub(crate) struct InFlightBand {
    /// Attempts in flight per ready endpoint at the band's middle.
    watermark: f64,
    /// Queued requests wait only for the band or for an endpoint.
    blocked: bool,
    /// Queued requests have waited for the band since the last step of the watermark.
    blocked_since_step: bool,
    /// The endpoints are saturated: the stock is a large fraction of the band.
    saturated: bool,
    /// When the watermark last took a step, in milliseconds.
    stepped_ms: f64,
    /// Ready endpoints as the band counted them at the last review; one that is warming up counts as a
    /// fraction.
    ready_capacity: f64,
    /// Requests that this gateway may send by its even fraction of the band; below 0 it is overdrawn.
    dispatch_credit: f64,
    /// When the dispatch credit was last refilled, in milliseconds.
    refilled_ms: f64,
}

/// The load of the endpoints that the band counts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BandLoad {
    /// Ready endpoints; one that is warming up counts as a fraction.
    pub(crate) ready_capacity: f64,
    /// This gateway's attempts in flight at them.
    pub(crate) in_flight: u32,
}

/// The band of a fleet whose gateways report their counts to each other.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Band {
    /// This gateway's attempts in flight.
    pub(crate) own_in_flight: f64,
    /// The stock: attempts in flight of all gateways.
    pub(crate) in_flight: f64,
    /// The stock that the band is centred on.
    pub(crate) middle: f64,
    /// The gateways that the stock is summed over, this one included.
    pub(crate) gateways: f64,
}

/// Where the stock lies against the band's bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BandPosition {
    /// Under the lower bound: queued and new requests may be sent.
    UnderLower,
    /// Between the bounds: a new request may be sent, queued ones wait.
    BetweenBounds,
    /// Not under the upper bound: none may be sent.
    NotUnderUpper,
}

impl BandPosition {
    /// Whether a queued request may be sent.
    pub(crate) fn permits_queued_request(self) -> bool {
        self == BandPosition::UnderLower
    }

    /// Whether a new request within its quota may be sent without being queued.
    pub(crate) fn permits_new_request(self) -> bool {
        self != BandPosition::NotUnderUpper
    }
}

impl BandLoad {
    /// The load of these endpoints, each given with the fraction of a warm endpoint that it counts as.
    pub(crate) fn sum<'a>(endpoints: impl Iterator<Item = (&'a Endpoint, f64)>) -> Self {
        let mut load = BandLoad { ready_capacity: 0.0, in_flight: 0 };
        for (endpoint, fraction) in endpoints {
            load.in_flight += endpoint.in_flight().len() as u32;
            if endpoint.is_ready() {
                load.ready_capacity += fraction;
            }
        }
        load
    }
}

impl Band {
    /// The band of this gateway's load and watermark and of what peers reported: stocks add up, and the
    /// watermark is the mean.
    pub(crate) fn from_reports<'a>(
        load: BandLoad,
        watermark: f64,
        peers: impl Iterator<Item = &'a BroadcastPeer>,
    ) -> Self {
        let (mut peer_in_flight, mut watermarks, mut gateways) = (0, watermark, 1.0);
        for peer in peers {
            peer_in_flight += peer.in_flight();
            watermarks += peer.watermark();
            gateways += 1.0;
        }
        Band {
            own_in_flight: f64::from(load.in_flight),
            in_flight: f64::from(load.in_flight + peer_in_flight),
            middle: watermarks / gateways * load.ready_capacity,
            gateways,
        }
    }
}

impl InFlightBand {
    /// A band with this watermark and dispatch credit that no request waits for.
    pub(crate) fn new(watermark: f64, dispatch_credit: f64) -> Self {
        InFlightBand { watermark, dispatch_credit, ..InFlightBand::default() }
    }

    /// Attempts in flight per ready endpoint at the band's middle.
    pub(crate) fn watermark(&self) -> f64 {
        self.watermark
    }

    /// Moves the watermark by this weight towards the one that a peer reported.
    pub(crate) fn follow_watermark(&mut self, reported: f64, weight: f64) {
        self.watermark += weight * (reported - self.watermark);
    }

    /// Sets the watermark.
    pub(crate) fn set_watermark(&mut self, watermark: f64) {
        self.watermark = watermark;
    }

    /// Time since the watermark's last step, in milliseconds.
    pub(crate) fn since_step_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.stepped_ms
    }

    /// Begins a step of the watermark. `true` where queued requests waited for the band since the last one.
    pub(crate) fn begin_step(&mut self, now_ms: f64) -> bool {
        let was_blocked = self.blocked || self.blocked_since_step;
        self.blocked_since_step = false;
        self.stepped_ms = now_ms;
        was_blocked
    }

    /// Whether queued requests wait for the band or for an endpoint: a new request must not overtake them.
    pub(crate) fn is_blocked(&self) -> bool {
        self.blocked
    }

    /// Begins a round of dispatch: no request is known to wait.
    pub(crate) fn unblock(&mut self) {
        self.blocked = false;
    }

    /// Records that a queued request waits for the band.
    pub(crate) fn block(&mut self) {
        self.blocked = true;
        self.blocked_since_step = true;
    }

    /// Records that a queued request waits for an endpoint, which a higher watermark would not help.
    pub(crate) fn block_for_endpoint(&mut self) {
        self.blocked = true;
    }

    /// Whether the endpoints are saturated.
    pub(crate) fn is_saturated(&self) -> bool {
        self.saturated
    }

    /// Records whether the endpoints are saturated.
    pub(crate) fn set_saturated(&mut self, saturated: bool) {
        self.saturated = saturated;
    }

    /// Ready endpoints as the band counted them at the last review.
    pub(crate) fn ready_capacity(&self) -> f64 {
        self.ready_capacity
    }

    /// Records the ready endpoints as the band counts them.
    pub(crate) fn set_ready_capacity(&mut self, ready_capacity: f64) {
        self.ready_capacity = ready_capacity;
    }

    /// Requests that this gateway may send by its even fraction of the band.
    pub(crate) fn dispatch_credit(&self) -> f64 {
        self.dispatch_credit
    }

    /// Sets the requests that this gateway may send.
    pub(crate) fn set_dispatch_credit(&mut self, dispatch_credit: f64) {
        self.dispatch_credit = dispatch_credit;
    }

    /// Begins a refill, and returns the seconds since the last one.
    pub(crate) fn begin_refill(&mut self, now_ms: f64) -> f64 {
        let seconds = (now_ms - self.refilled_ms).max(0.0) / 1000.0;
        self.refilled_ms = now_ms;
        seconds
    }
}
