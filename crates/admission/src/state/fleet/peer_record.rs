//! The other gateways, as a gateway of a small fleet and as one of a large fleet knows them.
use crate::id::GatewayIndex;
use crate::messages::counts_message::{CountsMessage, SEQUENCE_MASK};
use crate::settings::Settings;

/// Numbers of the other gateways of the fleet.
pub(crate) fn peer_indices(settings: &Settings) -> impl Iterator<Item = GatewayIndex> {
    let me = settings.me;
    (0..settings.gateways).map(GatewayIndex).filter(move |gateway| *gateway != me)
}

/// Half the range of sequence numbers: a number that is ahead by less is newer.
const NEWER_RANGE: u32 = SEQUENCE_MASK / 2;

/// Another gateway of a small fleet, where each sends the others its counts.
#[derive(Debug)]
pub(crate) struct BroadcastPeer {
    /// The peer's start that the last message came from, and that message's sequence number.
    incarnation: Option<u32>,
    sequence: u32,
    /// Attempts that the peer reported to have in flight.
    stock: u32,
    /// The watermark that the peer reported.
    watermark: f64,
    /// When the last message came.
    received_ms: f64,
    /// Messages that the peer may be sent now, and when these were last added to.
    credit: f64,
    credit_ms: f64,
    /// When the peer was last sent a message, its sequence number, and the stock that it reported.
    sent_ms: f64,
    sent_sequence: u32,
    sent_stock: u32,
}

impl BroadcastPeer {
    /// A peer that nothing was received from and nothing sent to.
    pub(crate) fn unknown() -> Self {
        BroadcastPeer {
            incarnation: None,
            sequence: 0,
            stock: 0,
            watermark: 0.0,
            received_ms: f64::NEG_INFINITY,
            credit: 0.0,
            credit_ms: 0.0,
            sent_ms: 0.0,
            sent_sequence: 0,
            sent_stock: 0,
        }
    }

    /// Attempts that the peer reported to have in flight.
    pub(crate) fn stock(&self) -> u32 {
        self.stock
    }

    /// The watermark that the peer reported.
    pub(crate) fn watermark(&self) -> f64 {
        self.watermark
    }

    /// Whether the peer's last report is younger than the time-out.
    pub(crate) fn is_live(&self, now_ms: f64, timeout_ms: f64) -> bool {
        now_ms - self.received_ms < timeout_ms
    }

    /// Enters the head of a message. `false` for a message that is repeated or was overtaken by a later one:
    /// counts are cumulative, and a ceiling transfer must count once.
    pub(crate) fn record_message(&mut self, message: &CountsMessage, now_ms: f64) -> bool {
        let restarted = self.incarnation != Some(message.incarnation);
        let ahead = message.sequence.wrapping_sub(self.sequence) & SEQUENCE_MASK;
        if !restarted && (ahead == 0 || ahead > NEWER_RANGE) {
            return false;
        }
        self.incarnation = Some(message.incarnation);
        self.sequence = message.sequence;
        self.stock = message.stock;
        self.watermark = message.watermark.figure();
        self.received_ms = now_ms;
        true
    }

    /// Adds the reports that the peer may be sent for the time since the last call, up to a limit.
    pub(crate) fn accrue_credit(&mut self, reports_per_second: f64, max_saved: f64, now_ms: f64) {
        let accrued = reports_per_second * (now_ms - self.credit_ms) / 1000.0;
        self.credit = (self.credit + accrued).min(max_saved);
        self.credit_ms = now_ms;
    }

    /// Reports that the peer may be sent now.
    pub(crate) fn credit(&self) -> f64 {
        self.credit
    }

    /// Attempts in flight that the last report to the peer had.
    pub(crate) fn sent_stock(&self) -> u32 {
        self.sent_stock
    }

    /// Time since the last report to the peer.
    pub(crate) fn since_sent_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.sent_ms
    }

    /// Enters a message that is sent, and gives it the next sequence number.
    pub(crate) fn number_message(&mut self, message: &mut CountsMessage, now_ms: f64) {
        self.credit -= 1.0;
        self.sent_sequence = (self.sent_sequence + 1) & SEQUENCE_MASK;
        self.sent_stock = message.stock;
        self.sent_ms = now_ms;
        message.sequence = self.sent_sequence;
    }
}

/// Another gateway of a large fleet, where each may own customers' quotas.
#[derive(Debug, Default)]
pub(crate) struct GossipPeer {
    /// Quota requests to it in a row that brought no response in time.
    missed_responses: u32,
    /// Until when it is sent no quota requests.
    suspected_until_ms: f64,
}

impl GossipPeer {
    /// Whether the peer is sent no quota requests now.
    pub(crate) fn is_suspected(&self, now_ms: f64) -> bool {
        now_ms < self.suspected_until_ms
    }

    /// Enters a message: the peer is alive.
    pub(crate) fn record_message(&mut self) {
        *self = GossipPeer::default();
    }

    /// Records that the peer did not respond to a quota request in time, and returns how many responses in a
    /// row it has missed.
    pub(crate) fn record_missed_response(&mut self) -> u32 {
        self.missed_responses += 1;
        self.missed_responses
    }

    /// Has the peer suspected to be down until a time.
    pub(crate) fn suspect(&mut self, until_ms: f64) {
        self.suspected_until_ms = until_ms;
    }
}
