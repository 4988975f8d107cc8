//! Figures of the messages between gateways, and what they report and give to each other.
use crate::settings::{PlanSettings, Settings};

/// A peer's reported stock counts for this long (the design's two seconds).
pub(crate) const PEER_TIMEOUT_MS: f64 = 2000.0;

/// Fraction of the messages a gateway takes in that all its peers together use: room for chance.
pub(crate) const PEER_MESSAGE_FRACTION: f64 = 0.7;

/// Shortest time between two rounds of reports.
const MIN_REPORT_INTERVAL_MS: f64 = 40.0;

/// A peer is taken to take in this many messages a second at least.
const MIN_MESSAGES_PER_SECOND: f64 = 0.1;

/// A peer receives a report from us at least this often.
pub(crate) const MAX_REPORT_INTERVAL_MS: f64 = 400.0;

/// Longest message, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 256;

/// Rounds in which a changed count is reported: once more than needed heals one loss at once.
pub(crate) const REPORT_ROUNDS: u8 = 2;

/// Customers kept at most; the idle ones beyond go first.
const MAX_CUSTOMERS: usize = 50_000;

/// A customer is kept for so long without use at least, and for so many times as long as its quota takes to
/// fill: it must not come back fuller than it went.
const MIN_CUSTOMER_IDLE_MS: f64 = 30_000.0;
const IDLE_REFILLS: f64 = 2.0;

/// Weight of each received mean in what this gateway passes on.
pub(crate) const MEAN_GAIN: f64 = 0.5;

/// Weight of each received mean in what the band goes by: own attempts, few and jumpy, stay out of it.
pub(crate) const RECEIVED_MEAN_GAIN: f64 = 0.15;

/// How fast the means passed on follow this gateway's own figures, a second.
pub(crate) const MEAN_GAIN_PER_SECOND: f64 = 2.0;

/// Ceiling units come in quarters.
const CEILING_QUARTERS: f64 = 4.0;

/// Whether gateways are few enough to send their counts to every other often enough.
pub(crate) fn broadcast_reaches_all(settings: &Settings) -> bool {
    let received = if settings.peer_messages_allowed { settings.peer_messages_per_second } else { 0.0 };
    settings.gateways as f64 - 1.0 <= PEER_MESSAGE_FRACTION * received * MAX_REPORT_INTERVAL_MS / 1000.0
}

/// Counts messages a second that a peer may be sent: all its peers together stay below what it takes in.
pub(crate) fn counts_messages_per_second(settings: &Settings) -> f64 {
    PEER_MESSAGE_FRACTION * settings.peer_messages_per_second / (settings.gateways - 1) as f64
}

/// Time between two rounds of reports: as short as the messages that a peer takes in allow.
pub(crate) fn report_interval_ms(settings: &Settings) -> f64 {
    let peers = settings.gateways.saturating_sub(1) as f64;
    let per_second = (PEER_MESSAGE_FRACTION * settings.peer_messages_per_second).max(MIN_MESSAGES_PER_SECOND);
    (1000.0 * peers / per_second).max(MIN_REPORT_INTERVAL_MS)
}

/// Units of a ceiling that are given to a peer that requests some: half of those not needed for one request
/// here.
pub(crate) fn ceiling_transfer_units(tokens: f64, max_request_units: f64) -> f64 {
    let spare = (tokens - max_request_units).max(0.0);
    (spare * 0.5 * CEILING_QUARTERS).floor() / CEILING_QUARTERS
}

/// How long a customer without attempts in flight is kept. Among too many it goes sooner, unless it has a
/// ceiling: a fraction of a ceiling would come back fuller.
pub(crate) fn idle_limit_ms(plan: Option<&PlanSettings>, customers: usize) -> f64 {
    if customers > MAX_CUSTOMERS && plan.is_none_or(|p| p.ceiling_rate_per_second <= 0.0) {
        return PEER_TIMEOUT_MS;
    }
    let fill_ms = plan
        .filter(|p| p.rate_per_second > 0.0)
        .map_or(0.0, |p| IDLE_REFILLS * 1000.0 * p.burst_units / p.rate_per_second);
    fill_ms.max(MIN_CUSTOMER_IDLE_MS)
}
