//! The other gateways.
use crate::mechanism::decaying_rate::DecayingRate;
use std::collections::BTreeMap;

#[derive(Debug, Default)]
pub(crate) struct Peer {
    pub(crate) incarnation: Option<u32>,
    pub(crate) seq: u32,
    pub(crate) stock: u32,
    pub(crate) watermark: f64,
    pub(crate) received_ms: f64,
    pub(crate) credit: f64,
    pub(crate) credit_ms: f64,
    pub(crate) reported_ms: f64,
    pub(crate) reported_stock: u32,
    pub(crate) sent_seq: u32,
    /// Questions to it left unanswered in a row, and until when it is not asked.
    pub(crate) missed_responses: u32,
    pub(crate) suspected_until_ms: f64,
}

impl Peer {
    /// A peer that nothing was received from.
    pub(crate) fn unknown() -> Self {
        Peer { received_ms: f64::NEG_INFINITY, ..Peer::default() }
    }
}

/// The other gateways, and the budget of messages to them.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    pub(crate) by_index: BTreeMap<usize, Peer>,
    pub(crate) reported_ms: f64,
    /// Messages that may be sent now, so that no gateway gets more than it takes in.
    pub(crate) message_tokens: f64,
    /// Messages a second that others' quota requests and releases bring.
    pub(crate) received_rate: DecayingRate,
}
