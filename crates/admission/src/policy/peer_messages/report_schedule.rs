//! Broadcast mode: how often a gateway sends its counts to each peer.
use crate::policy::peer_messages::message_capacity::planned_messages_per_second;

/// Shortest time between two rounds of reports, in ms.
const MIN_REPORT_INTERVAL_MS: f64 = 40.0;

/// Longest time between two reports to a peer, in ms. A report is then due even if nothing has changed, so
/// that the last one doesn't expire at the peer.
const MAX_REPORT_INTERVAL_MS: f64 = 400.0;

/// Lower bound of a peer's messages per second, so that the report interval stays finite.
const MIN_MESSAGES_PER_SECOND: f64 = 0.1;

/// Number of rounds in which a changed count is reported. The second round makes up for a lost message.
pub(crate) const REPORT_ROUNDS: u8 = 2;

/// Credit that a report to a peer costs.
pub(crate) const CREDIT_PER_REPORT: f64 = 1.0;

/// Inputs of the decision whether a report is sent to a peer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReportInput {
    /// Number of reports that the peer may be sent now.
    pub(crate) report_credit: f64,
    /// Whether the report has no entry about any customer.
    pub(crate) has_no_entries: bool,
    /// Whether the report has the same number of attempts in flight as the last report to the peer.
    pub(crate) has_same_in_flight: bool,
    /// Time since the last report to the peer, in ms.
    pub(crate) since_last_ms: f64,
}

/// Returns whether a fleet of `gateways` is small enough for each gateway to report to every other one within
/// the longest report interval. `accepted_per_second` is the number of messages that a gateway accepts.
pub(crate) fn broadcast_reaches_all(gateways: usize, accepted_per_second: f64) -> bool {
    let reports = planned_messages_per_second(accepted_per_second) * MAX_REPORT_INTERVAL_MS / 1000.0;
    gateways as f64 - 1.0 <= reports
}

/// Returns the reports per second that a gateway may send to one peer, so that all gateways together stay
/// within what the peer accepts. `gateways` is the size of the fleet.
pub(crate) fn reports_per_second(gateways: usize, accepted_per_second: f64) -> f64 {
    planned_messages_per_second(accepted_per_second) / (gateways - 1) as f64
}

/// Returns the report credit that a gateway may save up for one peer: the reports of a second, but at least
/// one report.
pub(crate) fn max_report_credit(reports_per_second: f64) -> f64 {
    reports_per_second.max(CREDIT_PER_REPORT)
}

/// Returns the time between two rounds of reports, in ms: as short as the messages that a peer accepts allow.
/// `gateways` is the size of the fleet.
pub(crate) fn report_interval_ms(gateways: usize, accepted_per_second: f64) -> f64 {
    let peers = gateways.saturating_sub(1) as f64;
    let per_second = planned_messages_per_second(accepted_per_second).max(MIN_MESSAGES_PER_SECOND);
    (1000.0 * peers / per_second).max(MIN_REPORT_INTERVAL_MS)
}

/// Returns whether a report is sent: there is credit for it, and either it says something new or the last one
/// was long ago.
pub(crate) fn should_send_report(input: ReportInput) -> bool {
    let is_due = input.since_last_ms >= MAX_REPORT_INTERVAL_MS;
    let has_something_new = !input.has_no_entries || !input.has_same_in_flight;
    input.report_credit >= CREDIT_PER_REPORT && (has_something_new || is_due)
}
