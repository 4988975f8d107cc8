//! Means over the fleet in gossip, counter and isolated mode, as this gateway knows them.
use crate::mechanism::decaying_rate::DecayingRate;
use crate::mechanism::smoothing::smooth;

/// Means over the gateways of a fleet that does not broadcast counts. Each mean is kept twice: as passed on
/// to peers, which includes this gateway's own values, and as received, which does not.
#[derive(Debug, Default)]
pub(crate) struct FleetMeans {
    /// The means that are passed on to peers.
    passed_on: GatewayMeans,
    /// The means as received, on which decisions are based.
    received: GatewayMeans,
    /// Good responses at this gateway per second, smoothed.
    own_rate: DecayingRate,
    /// When this gateway's own values were last applied, in ms.
    own_applied_ms: f64,
}

/// Values of one gateway, averaged over the gateways of the fleet.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct GatewayMeans {
    /// Mean attempts in flight of a gateway, at the endpoints that its band counts.
    pub(crate) in_flight: f64,
    /// Mean good responses of a gateway per second.
    pub(crate) responses_per_second: f64,
}

impl GatewayMeans {
    /// Moves each mean towards the sample by the fraction `gain` of the distance.
    fn follow(&mut self, sample: GatewayMeans, gain: f64) {
        smooth(&mut self.in_flight, sample.in_flight, gain);
        smooth(&mut self.responses_per_second, sample.responses_per_second, gain);
    }
}

impl FleetMeans {
    /// Returns the means that are passed on to peers.
    pub(crate) fn passed_on(&self) -> GatewayMeans {
        self.passed_on
    }

    /// Returns the means as received, on which decisions are based.
    pub(crate) fn received(&self) -> GatewayMeans {
        self.received
    }

    /// Counts a good response at this gateway. The rate is smoothed with this time constant, in seconds.
    pub(crate) fn record_response(&mut self, now_ms: f64, time_constant_s: f64) {
        self.own_rate.add(1.0, now_ms, time_constant_s);
    }

    /// Applies a peer's means, with one gain for the means passed on and one for those received.
    pub(crate) fn apply(&mut self, means: GatewayMeans, passed_on_gain: f64, received_gain: f64) {
        self.passed_on.follow(means, passed_on_gain);
        self.received.follow(means, received_gain);
    }

    /// Returns the time since this gateway's own values were last applied, in ms.
    pub(crate) fn since_own_applied_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.own_applied_ms
    }

    /// Moves the means that are passed on towards this gateway's own values. `gain_per_second` sets how fast
    /// they follow; the rate of responses is smoothed with this time constant, in seconds.
    pub(crate) fn apply_own(
        &mut self,
        own_in_flight: f64,
        now_ms: f64,
        gain_per_second: f64,
        time_constant_s: f64,
    ) {
        let seconds = self.since_own_applied_ms(now_ms).max(0.0) / 1000.0;
        self.own_applied_ms = now_ms;
        let gain = 1.0 - (-gain_per_second * seconds).exp();
        let own = GatewayMeans {
            in_flight: own_in_flight,
            responses_per_second: self.own_rate.per_second_at(now_ms, time_constant_s),
        };
        self.passed_on.follow(own, gain);
    }

    /// Replaces the received means by those passed on, for modes in which nothing is received.
    pub(crate) fn use_own_as_received(&mut self) {
        self.received = self.passed_on;
    }
}
