//! Broadcast mode: reports between gateways about one customer.
use crate::id::GatewayIndex;
use crate::messages::counts_message::ConsumedUnits;
use std::collections::BTreeMap;

/// Reports between gateways about one customer: the last ones received, and the contents of those still to be
/// sent.
#[derive(Debug, Clone, Default)]
pub(crate) struct CustomerReports {
    /// Units that this gateway has taken from its own bucket of the quota since the customer's record was
    /// created. A record that is created again after its eviction starts at 0 under the same incarnation.
    consumed_units: f64,
    /// Last count of each peer.
    peers: BTreeMap<GatewayIndex, PeerCount>,
    /// Rounds of reports in which this gateway's count is still to be sent.
    pending_rounds: u8,
    /// Whether the next round requests units of the ceiling from peers.
    ceiling_requested: bool,
    /// Units of the ceiling that are to be transferred to each peer and have not been sent.
    ceiling_transfers: BTreeMap<GatewayIndex, f64>,
}

/// A peer's count of one customer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerCount {
    /// Incarnation of the peer that sent the count.
    pub(crate) incarnation: u32,
    /// Units that the peer has taken from its own bucket of the quota since it created the customer's record.
    pub(crate) consumed: ConsumedUnits,
    /// Attempts of the peer in flight for the customer that take a slot at the peer.
    pub(crate) in_flight: u32,
    /// When the report was received, in ms.
    pub(crate) received_ms: f64,
}

/// The consumption of one customer's quota that a peer's report shows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ReportedConsumption {
    /// Unknown, because this is the peer's first report or the customer's plan is not known here.
    Unknown {
        /// The tokens that the peer's bucket of the quota holds, as a fraction of the burst, 0 to 1.
        fill: f64,
    },
    /// Units consumed since the peer's last report.
    SinceLastReport {
        /// The units; below 0 if some were given back.
        consumed_units: f64,
    },
}

/// Attempts in flight for one customer at the peers that reported recently.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PeerActivity {
    /// Attempts in flight, summed over the peers' last reports.
    pub(crate) in_flight: u32,
    /// Number of peers that reported recently.
    pub(crate) reporting_peers: u32,
}

impl CustomerReports {
    /// Adds units that this gateway has consumed; units below 0 are given back.
    pub(crate) fn record_consumption(&mut self, units: f64) {
        self.consumed_units += units;
    }

    /// Returns the units that this gateway has taken from its own bucket of the quota since the customer's
    /// record was created.
    pub(crate) fn consumed_units(&self) -> f64 {
        self.consumed_units
    }

    /// Returns the attempts in flight that peers reported, by reports younger than the time-out.
    pub(crate) fn peer_activity(&self, now_ms: f64, timeout_ms: f64) -> PeerActivity {
        let live = self.peers.values().filter(|p| now_ms - p.received_ms < timeout_ms);
        live.fold(PeerActivity::default(), |sum, p| PeerActivity {
            in_flight: sum.in_flight + p.in_flight,
            reporting_peers: sum.reporting_peers + 1,
        })
    }

    /// Returns the units that a peer consumed since its last count.
    ///
    /// This guards against a peer that restarted, whose count is lower than before: its incarnation has
    /// changed, and its count is taken from 0. A count that restarts because the peer evicted the customer is
    /// not recognized: the incarnation is the same, and a lower count is taken as units given back.
    pub(crate) fn consumption_since_last(
        &self,
        peer: GatewayIndex,
        count: &PeerCount,
        fill: f64,
    ) -> ReportedConsumption {
        let Some(last) = self.peers.get(&peer) else { return ReportedConsumption::Unknown { fill } };
        let same_incarnation = last.incarnation == count.incarnation;
        let earlier = if same_incarnation { last.consumed } else { ConsumedUnits::default() };
        ReportedConsumption::SinceLastReport { consumed_units: count.consumed.units_since(earlier) }
    }

    /// Records a peer's count, with which its next count is compared.
    pub(crate) fn record_peer_count(&mut self, peer: GatewayIndex, count: PeerCount) {
        self.peers.insert(peer, count);
    }

    /// Schedules this gateway's count for the next `rounds` rounds of reports.
    pub(crate) fn schedule(&mut self, rounds: u8) {
        self.pending_rounds = rounds;
    }

    /// Returns whether this gateway's count is to be sent in this round.
    pub(crate) fn is_pending(&self) -> bool {
        self.pending_rounds > 0
    }

    /// Schedules a request for units of the ceiling from peers, for the next round.
    pub(crate) fn request_ceiling(&mut self) {
        self.ceiling_requested = true;
    }

    /// Returns whether this round requests units of the ceiling from peers.
    pub(crate) fn ceiling_requested(&self) -> bool {
        self.ceiling_requested
    }

    /// Schedules a transfer of units of the ceiling to a peer, added to any that are scheduled already.
    pub(crate) fn add_ceiling_transfer(&mut self, peer: GatewayIndex, units: f64) {
        *self.ceiling_transfers.entry(peer).or_insert(0.0) += units;
    }

    /// Removes the scheduled transfer to a peer and returns its units.
    pub(crate) fn take_ceiling_transfer(&mut self, peer: GatewayIndex) -> Option<f64> {
        self.ceiling_transfers.remove(&peer)
    }

    /// Ends a round of reports; returns whether the count is to be sent in another one.
    pub(crate) fn end_round(&mut self) -> bool {
        self.ceiling_requested = false;
        self.pending_rounds = self.pending_rounds.saturating_sub(1);
        self.is_pending()
    }
}
