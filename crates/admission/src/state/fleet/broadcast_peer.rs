//! Broadcast mode: the last report of another gateway, and when it may be sent one.
use crate::mechanism::token_bucket::TokenCount;
use crate::messages::counts_message::{is_newer_sequence, next_sequence, CountsMessage};

/// Another gateway in broadcast mode, where each sends the others its counts.
#[derive(Debug)]
pub(crate) struct BroadcastPeer {
    /// The peer's start that the last message came from; `None` before the first message.
    incarnation: Option<u32>,
    /// Sequence number of the last message.
    sequence: u32,
    /// Attempts that the peer reported to have in flight.
    in_flight: u32,
    /// The watermark that the peer reported.
    watermark: f64,
    /// When the last message came, in ms.
    received_ms: f64,
    /// Reports that the peer may be sent now.
    credit: TokenCount,
    /// When the credit was last added to, in ms.
    credited_ms: f64,
    /// When the peer was last sent a report, in ms.
    sent_ms: f64,
    /// Sequence number of that report.
    sent_sequence: u32,
    /// Attempts in flight that it had.
    sent_in_flight: u32,
}

impl BroadcastPeer {
    /// A peer that nothing was received from and nothing sent to.
    pub(crate) fn unknown() -> Self {
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

    /// Attempts that the peer reported to have in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The watermark that the peer reported.
    pub(crate) fn watermark(&self) -> f64 {
        self.watermark
    }

    /// Whether the peer's last report is younger than the time-out.
    pub(crate) fn is_live(&self, now_ms: f64, timeout_ms: f64) -> bool {
        now_ms - self.received_ms < timeout_ms
    }

    /// Records the head of a message; `false` for a message that must not be applied.
    ///
    /// Guards against datagrams that arrive twice or out of order: units of a ceiling would be there twice,
    /// and an older count would be taken for units given back. Sequence numbers of the same start show both.
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

    /// Adds the reports that the peer may be sent for the time since the last call, up to a limit.
    pub(crate) fn accrue_credit(&mut self, reports_per_second: f64, max_saved: f64, now_ms: f64) {
        let accrued = reports_per_second * (now_ms - self.credited_ms) / 1000.0;
        self.credit.add(accrued, max_saved);
        self.credited_ms = now_ms;
    }

    /// Reports that the peer may be sent now.
    pub(crate) fn credit(&self) -> f64 {
        self.credit.tokens()
    }

    /// Attempts in flight that the last report to the peer had.
    pub(crate) fn sent_in_flight(&self) -> u32 {
        self.sent_in_flight
    }

    /// Time since the last report to the peer.
    pub(crate) fn since_sent_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.sent_ms
    }

    /// Records a report that is sent and costs this credit, and sets the next sequence number in it.
    pub(crate) fn record_sent_report(&mut self, message: &mut CountsMessage, credit: f64, now_ms: f64) {
        self.credit.take(credit);
        self.sent_sequence = next_sequence(self.sent_sequence);
        self.sent_in_flight = message.in_flight;
        self.sent_ms = now_ms;
        message.sequence = self.sent_sequence;
    }
}
