//! Broadcast mode: how often each peer is sent this gateway's counts.
use crate::policy::peer_messages::message_capacity::peer_messages_per_second;

/// Shortest time between two rounds of reports, in ms.
const MIN_REPORT_INTERVAL_MS: f64 = 40.0;

/// Longest time between two reports to a peer, in ms, also when nothing has changed: the peer must not take
/// this gateway for silent.
const MAX_REPORT_INTERVAL_MS: f64 = 400.0;

/// Messages per second that a fleet is taken to allow at least, so that the report interval stays finite.
const MIN_MESSAGES_PER_SECOND: f64 = 0.1;

/// Rounds in which a changed count is reported. The second round makes up for a lost message.
pub(crate) const REPORT_ROUNDS: u8 = 2;

/// Credit that a report to a peer costs.
pub(crate) const CREDIT_PER_REPORT: f64 = 1.0;

/// What decides whether a report is sent to a peer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReportInput {
    /// Messages that the peer may be sent now.
    pub(crate) message_credit: f64,
    /// The report says nothing of any customer.
    pub(crate) has_no_customers: bool,
    /// The report has the same attempts in flight as the last one.
    pub(crate) has_same_stock: bool,
    /// Time since the last report to the peer, in ms.
    pub(crate) since_last_ms: f64,
}

/// Whether gateways are few enough to send their counts to every other gateway often enough.
/// `accepted_per_second` is how many messages a gateway accepts.
pub(crate) fn broadcast_reaches_all(gateways: usize, accepted_per_second: f64) -> bool {
    let reports = peer_messages_per_second(accepted_per_second) * MAX_REPORT_INTERVAL_MS / 1000.0;
    gateways as f64 - 1.0 <= reports
}

/// Reports per second that one peer may be sent, so that all its peers together stay within what it accepts.
pub(crate) fn reports_per_second(gateways: usize, accepted_per_second: f64) -> f64 {
    peer_messages_per_second(accepted_per_second) / (gateways - 1) as f64
}

/// Reports to one peer that may be saved up: those of a second, but one at least.
pub(crate) fn max_saved_reports(reports_per_second: f64) -> f64 {
    reports_per_second.max(CREDIT_PER_REPORT)
}

/// Time between two rounds of reports, in ms: as short as the messages that a peer accepts allow.
pub(crate) fn report_interval_ms(gateways: usize, accepted_per_second: f64) -> f64 {
    let peers = gateways.saturating_sub(1) as f64;
    let per_second = peer_messages_per_second(accepted_per_second).max(MIN_MESSAGES_PER_SECOND);
    (1000.0 * peers / per_second).max(MIN_REPORT_INTERVAL_MS)
}

/// Whether a report is sent: the peer can take one, and either it has something new or the last one is long
/// ago.
pub(crate) fn should_send_report(input: ReportInput) -> bool {
    let is_due = input.since_last_ms >= MAX_REPORT_INTERVAL_MS;
    let has_something_new = !input.has_no_customers || !input.has_same_stock;
    input.message_credit >= CREDIT_PER_REPORT && (has_something_new || is_due)
}
