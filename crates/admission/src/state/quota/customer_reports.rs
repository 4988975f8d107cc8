//! Broadcast mode: what gateways report to each other of one customer.
use crate::id::GatewayIndex;
use crate::messages::counts_message::ConsumedUnits;
use std::collections::BTreeMap;

/// What gateways report to each other of one customer, and what is still to be sent.
#[derive(Debug, Clone, Default)]
pub(crate) struct CustomerReports {
    /// Units that this gateway consumed since its start.
    consumed_units: f64,
    /// What each peer last reported.
    peers: BTreeMap<GatewayIndex, PeerCount>,
    /// Rounds in which the own count is still to be sent.
    pending_rounds: u8,
    /// The next round requests units of the ceiling from peers.
    ceiling_requested: bool,
    /// Units of the ceiling transferred to peers and not sent yet.
    ceiling_transfers: BTreeMap<GatewayIndex, f64>,
}

/// What a peer reported of one customer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerCount {
    /// The peer's start that the count belongs to.
    pub(crate) incarnation: u32,
    /// Units that the peer consumed since that start.
    pub(crate) consumed: ConsumedUnits,
    /// The peer's attempts in flight for the customer.
    pub(crate) in_flight: u32,
    /// When the report came, in ms.
    pub(crate) received_ms: f64,
}

/// What a peer's report says of the units that it consumed of one customer's quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ReportedConsumption {
    /// The first report of this peer, or no plan is known here yet. It has only the fraction of the burst
    /// that the peer sees in the quota.
    Unknown {
        /// That fraction, 0 to 1.
        fill: f64,
    },
    /// Units consumed since the peer's last report.
    Since {
        /// The units; below 0 some were given back.
        consumed_units: f64,
    },
}

/// What peers that reported recently have in flight for one customer.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PeerActivity {
    /// Attempts in flight, by their last reports.
    pub(crate) in_flight: u32,
    /// How many peers these reports are of.
    pub(crate) reporting_peers: u32,
}

impl CustomerReports {
    /// Counts units that this gateway consumed; below 0 some are given back.
    pub(crate) fn record_consumption(&mut self, units: f64) {
        self.consumed_units += units;
    }

    /// Units that this gateway consumed since its start.
    pub(crate) fn consumed_units(&self) -> f64 {
        self.consumed_units
    }

    /// What peers reported to have in flight, by reports younger than the time-out.
    pub(crate) fn peer_activity(&self, now_ms: f64, timeout_ms: f64) -> PeerActivity {
        let live = self.peers.values().filter(|p| now_ms - p.received_ms < timeout_ms);
        live.fold(PeerActivity::default(), |sum, p| PeerActivity {
            in_flight: sum.in_flight + p.in_flight,
            reporting_peers: sum.reporting_peers + 1,
        })
    }

    /// What a peer's count says of its consumption beyond its last count.
    ///
    /// Guards against a peer that restarted, whose count is lower than before: the incarnation shows it, and
    /// its count is taken from 0.
    pub(crate) fn consumption_since_last(
        &self,
        peer: GatewayIndex,
        count: &PeerCount,
        fill: f64,
    ) -> ReportedConsumption {
        let Some(last) = self.peers.get(&peer) else { return ReportedConsumption::Unknown { fill } };
        let same_incarnation = last.incarnation == count.incarnation;
        let earlier = if same_incarnation { last.consumed } else { ConsumedUnits::default() };
        ReportedConsumption::Since { consumed_units: count.consumed.units_since(earlier) }
    }

    /// Records a peer's count, to compare the next one with.
    pub(crate) fn record_peer_count(&mut self, peer: GatewayIndex, count: PeerCount) {
        self.peers.insert(peer, count);
    }

    /// Has the own count sent in the next rounds.
    pub(crate) fn schedule(&mut self, rounds: u8) {
        self.pending_rounds = rounds;
    }

    /// Whether the own count is to be sent in this round.
    pub(crate) fn is_pending(&self) -> bool {
        self.pending_rounds > 0
    }

    /// Has the next round request units of the ceiling from peers.
    pub(crate) fn request_ceiling(&mut self) {
        self.ceiling_requested = true;
    }

    /// Whether this round requests units of the ceiling from peers.
    pub(crate) fn ceiling_requested(&self) -> bool {
        self.ceiling_requested
    }

    /// Adds units of the ceiling that are to be sent to a peer.
    pub(crate) fn add_ceiling_transfer(&mut self, peer: GatewayIndex, units: f64) {
        *self.ceiling_transfers.entry(peer).or_insert(0.0) += units;
    }

    /// Takes the units of the ceiling that are to be sent to a peer.
    pub(crate) fn take_ceiling_transfer(&mut self, peer: GatewayIndex) -> Option<f64> {
        self.ceiling_transfers.remove(&peer)
    }

    /// Ends a round of reports; `true` while another one is to follow.
    pub(crate) fn end_round(&mut self) -> bool {
        self.ceiling_requested = false;
        self.pending_rounds = self.pending_rounds.saturating_sub(1);
        self.is_pending()
    }
}
