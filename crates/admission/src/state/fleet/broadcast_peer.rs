//! Broadcast mode: the last report of another gateway, and when this gateway may send it a report.
use crate::mechanism::token_bucket::TokenCount;
use crate::messages::counts_message::{is_newer_sequence, next_sequence, CountsMessage};

/// Another gateway in broadcast mode, in which each gateway sends its counts to all others.
#[derive(Debug)]
pub(crate) struct BroadcastPeer {
    /// Incarnation of the peer that sent the last message; `None` before the first message.
    incarnation: Option<u32>,
    /// Sequence number of the last message.
    sequence: u32,
    /// Attempts in flight that the peer reported.
    in_flight: u32,
    /// Watermark that the peer reported.
    watermark: f64,
    /// When the last message was received, in ms.
    received_ms: f64,
    /// Report credit: the number of reports that may be sent to the peer now. Like the message tokens of
    /// gossip mode, it is a budget that is to keep messages within what gateways accept.
    credit: TokenCount,
    /// When credit was last added, in ms.
    credited_ms: f64,
    /// When a report was last sent to the peer, in ms.
    sent_ms: f64,
    /// Sequence number of the last report to the peer.
    sent_sequence: u32,
    /// This gateway's attempts in flight in the last report to the peer.
    sent_in_flight: u32,
}

impl BroadcastPeer {
    /// Creates a peer from which nothing was received and to which nothing was sent.
    pub(crate) fn new() -> Self {
        BroadcastPeer {
            incarnation: None,
            sequence: 0,
            in_flight: 0,
            watermark: 0.0,
            received_ms: f64::NEG_INFINITY,
            credit: TokenCount::default(),
            credited_ms: 0.0,
            sent_ms: 0.0,
            sent_sequence: 0,
            sent_in_flight: 0,
        }
    }

    /// Returns the attempts in flight that the peer reported.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the watermark that the peer reported.
    pub(crate) fn watermark(&self) -> f64 {
        self.watermark
    }

    /// Returns whether the peer's last report is younger than the time-out.
    pub(crate) fn is_live(&self, now_ms: f64, timeout_ms: f64) -> bool {
        now_ms - self.received_ms < timeout_ms
    }

    /// Records the header of a message; returns `false` if the message must not be applied.
    ///
    /// This guards against datagrams that arrive twice or out of order: transferred units of a ceiling would
    /// be added twice, and an older count would look as if units had been given back. Within one incarnation,
    /// the sequence number reveals both.
    pub(crate) fn record_message(&mut self, message: &CountsMessage, now_ms: f64) -> bool {
        let restarted = self.incarnation != Some(message.incarnation);
        if !restarted && !is_newer_sequence(message.sequence, self.sequence) {
            return false;
        }
        self.incarnation = Some(message.incarnation);
        self.sequence = message.sequence;
        self.in_flight = message.in_flight;
        self.watermark = message.watermark.value();
        self.received_ms = now_ms;
        true
    }

    /// Adds the reports that the time since the last call allows to the peer's credit, up to a limit.
    pub(crate) fn accrue_credit(&mut self, reports_per_second: f64, max_saved: f64, now_ms: f64) {
        let accrued = reports_per_second * (now_ms - self.credited_ms) / 1000.0;
        self.credit.add(accrued, max_saved);
        self.credited_ms = now_ms;
    }

    /// Returns the report credit: the number of reports that may be sent to the peer now.
    pub(crate) fn credit(&self) -> f64 {
        self.credit.tokens()
    }

    /// Returns this gateway's attempts in flight in the last report to the peer.
    pub(crate) fn sent_in_flight(&self) -> u32 {
        self.sent_in_flight
    }

    /// Returns the time since the last report to the peer, in ms.
    pub(crate) fn since_sent_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.sent_ms
    }

    /// Records a report that is about to be sent: takes its credit, and sets its sequence number to the next
    /// one.
    pub(crate) fn record_sent_report(&mut self, message: &mut CountsMessage, credit: f64, now_ms: f64) {
        self.credit.take(credit);
        self.sent_sequence = next_sequence(self.sent_sequence);
        self.sent_in_flight = message.in_flight;
        self.sent_ms = now_ms;
        message.sequence = self.sent_sequence;
    }
}
