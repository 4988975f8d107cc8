//! Figures of the messages between gateways, and what they report and give to each other.
use crate::settings::{PlanSettings, Settings};
use crate::state::fleet_means::GatewayMeans;

/// A peer's report counts for this long: the two seconds of the design.
pub(crate) const PEER_TIMEOUT_MS: f64 = 2000.0;

/// Fraction of the messages that a gateway takes in which all its peers together use. The rest is room for
/// messages that come unevenly by chance.
pub(crate) const PEER_MESSAGE_FRACTION: f64 = 0.7;

/// Shortest time between two rounds of reports.
const MIN_REPORT_INTERVAL_MS: f64 = 40.0;

/// Messages a second that a fleet is taken to allow at least, so that the interval stays finite.
const MIN_MESSAGES_PER_SECOND: f64 = 0.1;

/// Longest time between two reports to a peer, also when nothing has changed: it must not take this gateway
/// for silent.
pub(crate) const MAX_REPORT_INTERVAL_MS: f64 = 400.0;

/// Longest message in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 256;

/// Rounds in which a changed count is reported. One round more than needed makes up for a lost message.
pub(crate) const REPORT_ROUNDS: u8 = 2;

/// Customers from which on idle ones are forgotten sooner: a bound on memory.
const MAX_CUSTOMERS: usize = 50_000;

/// An idle customer is kept for this time at least, and for this multiple of the time in which its quota
/// fills: a forgotten customer comes back with a full quota.
const MIN_CUSTOMER_IDLE_MS: f64 = 30_000.0;
const IDLE_REFILLS: f64 = 2.0;

/// Weight of each received mean in the means that this gateway passes on.
pub(crate) const MEAN_GAIN: f64 = 0.5;

/// Weight of each received mean in the means that the band goes by. Own figures, which are few and jump, stay
/// out of these.
pub(crate) const RECEIVED_MEAN_GAIN: f64 = 0.15;

/// How fast the means that are passed on follow this gateway's own figures, a second.
pub(crate) const MEAN_GAIN_PER_SECOND: f64 = 2.0;

/// Fraction of the spare units of a ceiling that a peer is given which requests some.
const CEILING_TRANSFER_FRACTION: f64 = 0.5;

/// Units of a ceiling are given in quarters, as messages have them.
const CEILING_STEPS_PER_UNIT: f64 = 4.0;

/// Bounds on the age of attempts that follows from the means, in mean response times and in the longest
/// latency objectives.
const MIN_AGE_RESPONSE_TIMES: f64 = 0.5;
const MAX_AGE_OBJECTIVES: f64 = 2.0;

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

/// Units of a ceiling that are given to a peer which requests some: a part of those beyond what one request
/// here may need.
pub(crate) fn ceiling_transfer_units(tokens: f64, max_request_units: f64) -> f64 {
    let spare = (tokens - max_request_units).max(0.0);
    (spare * CEILING_TRANSFER_FRACTION * CEILING_STEPS_PER_UNIT).floor() / CEILING_STEPS_PER_UNIT
}

/// How long a customer without attempts in flight is kept. Among too many it is forgotten sooner, unless it
/// has a ceiling, whose tokens would come back fuller than they were.
pub(crate) fn idle_limit_ms(plan: Option<&PlanSettings>, customers: usize) -> f64 {
    if customers > MAX_CUSTOMERS && plan.is_none_or(|p| p.ceiling_rate_per_second <= 0.0) {
        return PEER_TIMEOUT_MS;
    }
    let fill_ms = plan
        .filter(|p| p.rate_per_second > 0.0)
        .map_or(0.0, |p| IDLE_REFILLS * 1000.0 * p.burst_units / p.rate_per_second);
    fill_ms.max(MIN_CUSTOMER_IDLE_MS)
}

/// How long attempts are in flight, by Little's law: attempts in flight over responses a second. These means
/// show a jam before the response times do.
pub(crate) fn mean_attempt_age_ms(settings: &Settings, means: GatewayMeans, mean_response_ms: f64) -> f64 {
    let objectives = settings.classes.iter().map(|class| class.latency_objective_ms);
    let longest_ms = objectives.fold(mean_response_ms, f64::max);
    let age_ms = if means.responses_per_second > 0.0 {
        1000.0 * means.stock / means.responses_per_second
    } else {
        mean_response_ms
    };
    age_ms.clamp(MIN_AGE_RESPONSE_TIMES * mean_response_ms, MAX_AGE_OBJECTIVES * longest_ms)
}
