//! The other gateways.
use crate::mechanism::decaying_rate::DecayingRate;
use crate::messages::counts::{CountsMessage, SEQUENCE_MASK};
use std::collections::BTreeMap;

/// Another gateway as this one knows it.
#[derive(Debug, Default)]
pub(crate) struct Peer {
    /// The peer's start that the last counts message came from.
    pub(crate) incarnation: Option<u32>,
    /// Sequence number of that message.
    pub(crate) sequence: u32,
    /// Attempts that the peer reported to have in flight.
    pub(crate) stock: u32,
    /// The watermark that the peer reported.
    pub(crate) watermark: f64,
    /// When the last message came.
    pub(crate) received_ms: f64,
    /// Messages that it may be sent now, and when these were last added to.
    pub(crate) credit: f64,
    pub(crate) credit_ms: f64,
    /// When it was last sent counts, and the stock that was reported to it then.
    pub(crate) reported_ms: f64,
    pub(crate) reported_stock: u32,
    /// Sequence number of the last counts message sent to it.
    pub(crate) sent_sequence: u32,
    /// Quota requests to it in a row that brought no response in time.
    pub(crate) missed_responses: u32,
    /// Until when it is sent no quota requests.
    pub(crate) suspected_until_ms: f64,
}

/// Half the range of sequence numbers: a number that is ahead by less is newer.
const NEWER_RANGE: u32 = SEQUENCE_MASK / 2;

impl Peer {
    /// A peer that nothing was received from.
    pub(crate) fn unknown() -> Self {
        Peer { received_ms: f64::NEG_INFINITY, ..Peer::default() }
    }

    /// Enters the head of a counts message. `false` for a message that is repeated or was overtaken by a
    /// later one: counts are cumulative, and a ceiling transfer must count once.
    pub(crate) fn record_counts_message(&mut self, message: &CountsMessage, now_ms: f64) -> bool {
        let restarted = self.incarnation != Some(message.incarnation);
        let ahead = message.sequence.wrapping_sub(self.sequence) & SEQUENCE_MASK;
        if !restarted && (ahead == 0 || ahead > NEWER_RANGE) {
            return false;
        }
        self.incarnation = Some(message.incarnation);
        self.sequence = message.sequence;
        self.stock = message.stock;
        self.received_ms = now_ms;
        self.watermark = message.watermark.watermark();
        true
    }

    /// Enters a quota request that the peer did not respond to in time. From so many in a row on it is
    /// suspected.
    pub(crate) fn record_missed_response(&mut self, suspect_after: u32, suspect_until_ms: f64) {
        self.missed_responses += 1;
        if self.missed_responses >= suspect_after {
            self.suspected_until_ms = suspect_until_ms;
        }
    }

    /// Enters a gossip message: the peer is alive.
    pub(crate) fn record_gossip_message(&mut self, now_ms: f64) {
        self.received_ms = now_ms;
        self.missed_responses = 0;
        self.suspected_until_ms = 0.0;
    }
}

/// The other gateways, and the budget of messages to them.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    pub(crate) by_index: BTreeMap<usize, Peer>,
    /// When counts were last broadcast.
    pub(crate) reported_ms: f64,
    /// Messages that may be sent now, so that no gateway gets more than it takes in.
    pub(crate) message_tokens: f64,
    /// Messages a second that others' quota requests and releases bring.
    pub(crate) received_rate: DecayingRate,
}
