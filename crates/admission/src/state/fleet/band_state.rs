//! State of the in-flight band: watermark, dispatch credit, and whether queued requests wait for the band.
use crate::state::{BroadcastPeer, Endpoint};

/// The in-flight band as one gateway maintains it.
#[derive(Debug, Default)]
pub(crate) struct InFlightBand {
    /// The watermark: the number of attempts in flight per ready endpoint that the band is centred on. It is
    /// a target between the band's two bounds, not a bound itself.
    watermark: f64,
    /// Whether a queued request that its quota permits waits for the band or for an endpoint.
    has_waiting_request: bool,
    /// Whether a queued request has waited for the band since the last step of the watermark.
    waited_for_band_since_step: bool,
    /// Whether the endpoints are loaded: the fleet's attempts in flight exceed half of the band's middle
    /// (`LOADED_FILL`).
    loaded: bool,
    /// When the watermark last took a step, in milliseconds.
    stepped_ms: f64,
    /// Ready endpoints as the band last counted them; an endpoint that is warming up counts as a fraction.
    ready_capacity: f64,
    /// Attempts that this gateway may send by its equal share of the band; below 0, the credit is overdrawn.
    dispatch_credit: f64,
    /// When dispatch credit and message tokens were last refilled, in milliseconds.
    refilled_ms: f64,
}

/// The load of the endpoints that the band counts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BandLoad {
    /// Ready endpoints; an endpoint that is warming up counts as a fraction.
    pub(crate) ready_capacity: f64,
    /// Attempts that this gateway has in flight at these endpoints.
    pub(crate) in_flight: u32,
}

/// The band of a fleet in broadcast mode, whose gateways report their counts to each other.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BroadcastBand {
    /// Attempts that this gateway has in flight at the endpoints that the band counts.
    pub(crate) own_in_flight: f64,
    /// Attempts that all gateways together have in flight, each at the endpoints that its own band counts.
    pub(crate) in_flight: f64,
    /// Attempts in flight that the band is centred on.
    pub(crate) middle: f64,
    /// Number of gateways that `in_flight` is summed over, this one included.
    pub(crate) gateways: f64,
}

/// A position relative to the band's bounds, which determines the requests that may be sent. In broadcast
/// mode it is the position of the fleet's attempts in flight, the same for all requests. In a large fleet it
/// tells whether there is enough dispatch credit for one request, and is never between the bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BandPosition {
    /// Below the lower bound: queued and new requests may be sent. In a large fleet: the request may be sent.
    BelowLowerBound,
    /// Between the bounds: a new request may be sent, queued requests wait.
    BetweenBounds,
    /// At or above the upper bound: no request may be sent. In a large fleet: the request may not be sent.
    AtOrAboveUpperBound,
}

impl BandPosition {
    /// Returns whether a queued request may be sent.
    pub(crate) fn permits_queued_request(self) -> bool {
        self == BandPosition::BelowLowerBound
    }

    /// Returns whether a new request within its quota may be sent without being queued.
    pub(crate) fn permits_new_request(self) -> bool {
        self != BandPosition::AtOrAboveUpperBound
    }
}

impl BandLoad {
    /// Returns the load of these endpoints. Each endpoint comes with the fraction of a warm endpoint that it
    /// counts as.
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

impl BroadcastBand {
    /// Returns the band that follows from this gateway's load and watermark and from the peers' reports:
    /// attempts in flight are summed, watermarks are averaged.
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
        BroadcastBand {
            own_in_flight: f64::from(load.in_flight),
            in_flight: f64::from(load.in_flight + peer_in_flight),
            middle: watermarks / gateways * load.ready_capacity,
            gateways,
        }
    }
}

impl InFlightBand {
    /// Creates a band with this watermark and dispatch credit, for which no request waits.
    pub(crate) fn new(watermark: f64, dispatch_credit: f64) -> Self {
        InFlightBand { watermark, dispatch_credit, ..InFlightBand::default() }
    }

    /// Returns the watermark: the number of attempts in flight per ready endpoint that the band is centred
    /// on.
    pub(crate) fn watermark(&self) -> f64 {
        self.watermark
    }

    /// Moves the watermark towards the one that a peer reported, by the fraction `weight` of the distance.
    pub(crate) fn follow_watermark(&mut self, reported: f64, weight: f64) {
        self.watermark += weight * (reported - self.watermark);
    }

    /// Sets the watermark.
    pub(crate) fn set_watermark(&mut self, watermark: f64) {
        self.watermark = watermark;
    }

    /// Returns the time since the watermark's last step, in milliseconds.
    pub(crate) fn since_step_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.stepped_ms
    }

    /// Begins a step of the watermark, and returns whether a queued request waits now for the band or for an
    /// endpoint, or has waited for the band since the last step.
    pub(crate) fn begin_step(&mut self, now_ms: f64) -> bool {
        let has_waited = self.has_waiting_request || self.waited_for_band_since_step;
        self.waited_for_band_since_step = false;
        self.stepped_ms = now_ms;
        has_waited
    }

    /// Returns whether a queued request that its quota permits waits for the band or for an endpoint. A new
    /// request must not overtake it.
    pub(crate) fn has_waiting_request(&self) -> bool {
        self.has_waiting_request
    }

    /// Begins a round of dispatch, in which no queued request has been found to wait yet.
    pub(crate) fn begin_dispatch(&mut self) {
        self.has_waiting_request = false;
    }

    /// Records that a queued request waits for the band.
    pub(crate) fn record_wait_for_band(&mut self) {
        self.has_waiting_request = true;
        self.waited_for_band_since_step = true;
    }

    /// Records that a queued request waits for an endpoint, for which a higher watermark would not help.
    pub(crate) fn record_wait_for_endpoint(&mut self) {
        self.has_waiting_request = true;
    }

    /// Returns whether the endpoints are loaded.
    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Records whether the endpoints are loaded.
    pub(crate) fn set_loaded(&mut self, loaded: bool) {
        self.loaded = loaded;
    }

    /// Returns the ready endpoints as the band last counted them.
    pub(crate) fn ready_capacity(&self) -> f64 {
        self.ready_capacity
    }

    /// Records the ready endpoints as the band counts them.
    pub(crate) fn set_ready_capacity(&mut self, ready_capacity: f64) {
        self.ready_capacity = ready_capacity;
    }

    /// Returns the attempts that this gateway may send by its equal share of the band.
    pub(crate) fn dispatch_credit(&self) -> f64 {
        self.dispatch_credit
    }

    /// Sets the attempts that this gateway may send by its equal share of the band.
    pub(crate) fn set_dispatch_credit(&mut self, dispatch_credit: f64) {
        self.dispatch_credit = dispatch_credit;
    }

    /// Begins a refill of the dispatch credit and of the message tokens, and returns the seconds since the
    /// last one.
    pub(crate) fn begin_refill(&mut self, now_ms: f64) -> f64 {
        let seconds = (now_ms - self.refilled_ms).max(0.0) / 1000.0;
        self.refilled_ms = now_ms;
        seconds
    }
}
