//! Updates the in-flight band and finds what it permits: which endpoints the band counts, whether they are
//! loaded, the watermark's steps, and dispatch credit.
use crate::gateway::Gateway;
use crate::id::RequestId;
use crate::policy::band::band_bounds::{is_loaded_in_broadcast_mode, position_in_broadcast_mode};
use crate::policy::band::counted_endpoints::{
    is_counted_in_broadcast_mode, is_counted_in_large_fleet, is_counted_or_correlated_failure,
    CountedEndpointInput,
};
use crate::policy::band::dispatch_credit::{
    credit_after_refill, credit_after_send, credit_required, position_in_large_fleet, LargeFleetBand,
};
use crate::policy::band::watermark::{
    watermark_after_step, watermark_floor_in_broadcast_mode, watermark_floor_in_large_fleet,
    watermark_step_in_broadcast_mode, watermark_step_in_large_fleet, watermark_step_is_due, WatermarkInput,
};
use crate::policy::peer_messages::message_capacity::PEER_TIMEOUT_MS;
use crate::state::{BandLoad, BandPosition, BroadcastBand, Endpoint, FleetMode};

impl Gateway {
    /// Returns the watermark that the band starts with and never falls below.
    pub(crate) fn watermark_floor(&self) -> f64 {
        match self.coordination.fleet_mode() {
            FleetMode::Broadcast => watermark_floor_in_broadcast_mode(),
            FleetMode::LargeFleet => watermark_floor_in_large_fleet(),
        }
    }

    /// Returns the capacity of the endpoints that the band counts, and this gateway's attempts in flight at
    /// them.
    pub(crate) fn band_load(&self) -> BandLoad {
        let mode = self.coordination.fleet_mode();
        let is_correlated_failure = self.outliers.is_correlated_failure();
        let counted = |endpoint: &&Endpoint| {
            is_counted_or_correlated_failure(is_correlated_failure, || self.is_counted(endpoint, mode))
        };
        let endpoints = self.endpoints.iter().filter(counted);
        BandLoad::sum(endpoints.map(|endpoint| (endpoint, self.send_fraction(endpoint))))
    }

    /// Returns whether the band counts an endpoint, by the health of that endpoint alone.
    fn is_counted(&self, endpoint: &Endpoint, mode: FleetMode) -> bool {
        let now_ms = self.clock.now_ms();
        let input = CountedEndpointInput {
            is_gone: endpoint.is_gone(),
            consecutive_failures: endpoint.health.consecutive_failures(),
            is_ejected: endpoint.health.is_ejected(now_ms),
            is_any_class_ejected: endpoint.observed_health.is_any_class_ejected(now_ms),
            stall_ratio: self.stall_ratio(endpoint),
        };
        match mode {
            FleetMode::Broadcast => is_counted_in_broadcast_mode(&input),
            FleetMode::LargeFleet => {
                let is_unresponsive = self.is_unresponsive(endpoint);
                let slowness = self.kind_deviation(endpoint).slowness;
                is_counted_in_large_fleet(&input, is_unresponsive, slowness)
            }
        }
    }

    /// Returns the band computed from the counts that gateways report to each other.
    fn reported_band(&self) -> BroadcastBand {
        let live = self.coordination.live_peers(self.clock.now_ms(), PEER_TIMEOUT_MS);
        BroadcastBand::from_reports(self.band_load(), self.band.watermark(), live)
    }

    /// Returns the band of a large fleet, computed from means over the fleet. In counter and isolated mode,
    /// each gateway is assumed to have what this one has.
    fn large_fleet_band(&self) -> LargeFleetBand {
        LargeFleetBand {
            mean_in_flight: self.fleet_means.received().in_flight,
            gateways: self.settings.gateways,
            watermark: self.band.watermark(),
            ready_capacity: self.band.ready_capacity(),
        }
    }

    /// Returns whether so few attempts are in flight in a large fleet that requests are sent without dispatch
    /// credit.
    pub(crate) fn is_below_credit_threshold(&self) -> bool {
        self.large_fleet_band().is_below_credit_threshold()
    }

    /// Returns the band's position for a request, which decides whether the request may be sent. In broadcast
    /// mode it is that of the fleet's attempts in flight. In a large fleet it depends on the dispatch credit
    /// that the request requires.
    pub(crate) fn band_position(&self, id: RequestId) -> BandPosition {
        match self.coordination.fleet_mode() {
            FleetMode::Broadcast => position_in_broadcast_mode(&self.reported_band()),
            FleetMode::LargeFleet => position_in_large_fleet(
                &self.large_fleet_band(),
                self.band.dispatch_credit(),
                self.credit_required(id),
            ),
        }
    }

    /// Returns the dispatch credit that a request requires.
    fn credit_required(&self, id: RequestId) -> f64 {
        let lowest = self.settings.lowest_priority_weight();
        let active = self.requests.get(id);
        let priority_weight = active.map_or(lowest, |a| self.settings.class(a.request.class).priority_weight);
        credit_required(priority_weight, lowest)
    }

    /// Adds the dispatch credit that the gateway earns in `seconds`.
    pub(crate) fn refill_dispatch_credit(&mut self, seconds: f64) {
        let band = self.large_fleet_band();
        let mean_response_ms = self.latency.mean_response_ms();
        let credit = credit_after_refill(self.band.dispatch_credit(), &band, mean_response_ms, seconds);
        self.band.set_dispatch_credit(credit);
    }

    /// Spends the dispatch credit of one attempt. Retries and hedges spend it too. In broadcast mode dispatch
    /// credit is not used.
    pub(crate) fn spend_dispatch_credit(&mut self) {
        self.band.set_dispatch_credit(credit_after_send(self.band.dispatch_credit()));
    }

    /// Records whether the endpoints are loaded.
    pub(crate) fn measure_load(&mut self) {
        let is_loaded = match self.coordination.fleet_mode() {
            FleetMode::Broadcast => is_loaded_in_broadcast_mode(&self.reported_band()),
            FleetMode::LargeFleet => self.large_fleet_band().is_loaded(),
        };
        self.band.set_loaded(is_loaded);
    }

    /// Moves the watermark if a step is due.
    pub(crate) fn step_watermark(&mut self) {
        let now_ms = self.clock.now_ms();
        let shortest_objective_ms = self.settings.shortest_objective_ms();
        if !watermark_step_is_due(self.band.since_step_ms(now_ms), shortest_objective_ms) {
            return;
        }
        let input = WatermarkInput {
            objective_fraction: self.latency.objective_fraction(),
            typical_attempt_age_ms: self.latency.typical_attempt_age_ms(),
            shortest_objective_ms,
            was_blocked: self.band.begin_step(now_ms),
        };
        let step = match self.coordination.fleet_mode() {
            FleetMode::Broadcast => watermark_step_in_broadcast_mode(&input),
            FleetMode::LargeFleet => watermark_step_in_large_fleet(&input, &self.large_fleet_band()),
        };
        let watermark = watermark_after_step(self.band.watermark(), step, self.watermark_floor());
        self.band.set_watermark(watermark);
    }
}
