//! Broadcast mode: the other gateways of the fleet.
use crate::id::GatewayIndex;
use crate::settings::Settings;
use crate::state::{peer_indices, BroadcastPeer};
use std::collections::BTreeMap;

/// State of broadcast mode: the other gateways, and when they were last sent reports.
#[derive(Debug)]
pub(crate) struct Broadcast {
    /// The other gateways, by number.
    peers: BTreeMap<GatewayIndex, BroadcastPeer>,
    /// When the last round of reports began, in ms.
    reported_ms: f64,
}

impl Broadcast {
    /// Creates the state of a gateway that has received and sent nothing.
    pub(crate) fn new(settings: &Settings) -> Self {
        let peers = peer_indices(settings).map(|peer| (peer, BroadcastPeer::new())).collect();
        Broadcast { peers, reported_ms: 0.0 }
    }

    /// Returns the peers whose last report is younger than the time-out.
    pub(crate) fn live_peers(&self, now_ms: f64, timeout_ms: f64) -> impl Iterator<Item = &BroadcastPeer> {
        self.peers.values().filter(move |peer| peer.is_live(now_ms, timeout_ms))
    }

    /// Begins a round of reports and returns the peers to report to; `None` if the last round began less than
    /// `interval_ms` ago or there are no peers.
    pub(crate) fn begin_round(
        &mut self,
        now_ms: f64,
        interval_ms: f64,
    ) -> Option<impl Iterator<Item = GatewayIndex> + '_> {
        if self.peers.is_empty() || now_ms - self.reported_ms < interval_ms {
            return None;
        }
        self.reported_ms = now_ms;
        Some(self.peers.keys().copied())
    }

    /// Returns the state of another gateway; `None` for this one.
    pub(crate) fn peer_mut(&mut self, gateway: GatewayIndex) -> Option<&mut BroadcastPeer> {
        self.peers.get_mut(&gateway)
    }
}
