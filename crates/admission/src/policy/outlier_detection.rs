//! Which endpoints are outliers, and what is learned of their speed.
use crate::event::{AttemptEnd, Outcome};
use crate::gateway::Gateway;
use crate::id::ClassIndex;
use crate::mechanism::backoff::BackoffLimits;
use crate::policy::slow_start::has_warmed_up;
use crate::state::{Endpoint, KindDeviation, LatencyGains};

/// Mean response times without an answer that count as a stall: with several attempts in flight, with one,
/// and for an attempt given up to count as a failure. The mean counts as at least this many typical ages.
const STALL_RESPONSE_TIMES: f64 = 2.5;
const SINGLE_STALL_RESPONSE_TIMES: f64 = 5.0;
const FAILED_RESPONSE_TIMES: f64 = 3.0;
const TYPICAL_AGE_FACTOR: f64 = 1.5;

/// Stall ratio from which an endpoint's work leaves the stock.
pub(crate) const HUNG_STALL_RATIO: f64 = 2.0;

/// Part of the endpoints that must be healthy for an outlier to be at fault itself: else the cause is shared.
pub(crate) const MIN_HEALTHY_FRACTION: f64 = 0.25;

/// Half-life with which a relative response time returns to what is usual: slow endpoints are tried again.
pub(crate) const RESPONSE_TIME_HALF_LIFE_MS: f64 = 4000.0;

/// Weights of a new sample in that value: of an own attempt, and of one that the fleet observed.
const OWN_RESPONSE_TIME_GAIN: f64 = 0.1;
pub(crate) const OBSERVED_RESPONSE_TIME_GAIN: f64 = 0.12;

/// Response time in parts of the objective that is assumed at the start, and the weights of new samples.
pub(crate) const INITIAL_OBJECTIVE_FRACTION: f64 = 0.15;
pub(crate) const LATENCY_GAINS: LatencyGains =
    LatencyGains { class_mean: 0.03, own_fraction: 0.05, observed_fraction: 0.02, kind_baseline: 0.02 };

/// Largest sample of a class's response time, over the mean, and of a kind's relative response time: a few
/// very slow endpoints must not make all look slow.
const MAX_RESPONSE_SAMPLE: f64 = 2.5;
pub(crate) const MAX_RELATIVE_SAMPLE: f64 = 4.0;

/// Relative response time over that of its kind from which an endpoint gets less: all gateways learn the
/// same, and small differences would send them all to the same few.
pub(crate) const CLEARLY_SLOW: f64 = 1.6;

/// The usual relative response time of a kind counts as this at least.
const MIN_KIND_BASELINE: f64 = 0.1;

/// Observations of endpoints in a message, at most, and kept for the next ones.
pub(crate) const MAX_OBSERVATIONS: usize = 3;

/// Weight of each observation of a class at an endpoint, and the failed part from which it is ejected for it.
pub(crate) const CLASS_FAILURE_GAIN: f64 = 0.3;
const MAX_CLASS_FAILURE_FRACTION: f64 = 0.5;

/// Typical age of attempts in flight, as a percentile over the endpoints: less than the median, since a zone
/// of two may be gone with its work in flight. One without any counts with part of the mean response time.
pub(crate) const TYPICAL_AGE_PERCENTILE: usize = 40;
pub(crate) const IDLE_AGE_FRACTION: f64 = 0.5;

/// Weight of each error and each broken connection, and the fraction of these from which an endpoint fails: a
/// connection that breaks is not yet an endpoint that does, while it answers over others.
pub(crate) const ERROR_GAIN: f64 = 0.1;
const MAX_ERROR_FRACTION: f64 = 0.3;
const MAX_BROKEN_FRACTION: f64 = 0.5;

/// How long an endpoint is left alone after failures, altogether and with one class or plan; one that is
/// overloaded for a part of the first delay. Jitter spreads the ends, so that gateways don't return in step.
pub(crate) const EJECTION: BackoffLimits = BackoffLimits { base_ms: 400.0, max_ms: 6400.0 };
pub(crate) const SCOPED_EJECTION: BackoffLimits = BackoffLimits { base_ms: 1000.0, max_ms: 6400.0 };
pub(crate) const OVERLOAD_EJECTION_FRACTION: f64 = 0.25;
pub(crate) const EJECTION_JITTER: f64 = 0.5;

/// A gateway of a large fleet sends to an endpoint too seldom to judge it alone. One is unresponsive of which
/// this many attempts are known to have gone unanswered since its last known answer, which must lie back as
/// long as this many answers of a usual endpoint take to be observed, and at most so long.
const MIN_MISSED_RESPONSES: u32 = 2;
const UNRESPONSIVE_OBSERVATIONS: f64 = 2.5;
const MAX_UNRESPONSIVE_MS: f64 = 2000.0;

/// Span over which the observed answers are counted.
pub(crate) const OBSERVATION_SPAN_S: f64 = 3.0;

impl Gateway {
    /// Finds out whether so many endpoints look like outliers that the cause is not theirs.
    pub(crate) fn detect_correlated_failure(&mut self) {
        let ready = self.endpoints.ready().count() as f64;
        let healthy = self.endpoints.ready().filter(|e| !self.is_outlier(e)).count() as f64;
        self.outliers.set_correlated_failure(healthy < ready * MIN_HEALTHY_FRACTION);
    }

    /// Whether the fleet, as far as this gateway knows, gets no responses from an endpoint any more.
    pub(crate) fn is_unresponsive(&self, endpoint: &Endpoint) -> bool {
        let now_ms = self.clock.now_ms();
        let observed = self.outliers.observed_responses_per_second(now_ms, OBSERVATION_SPAN_S);
        let per_endpoint = observed / self.endpoints.len().max(1) as f64;
        let limit_ms = (1000.0 * UNRESPONSIVE_OBSERVATIONS / per_endpoint).min(MAX_UNRESPONSIVE_MS);
        !self.coordination.is_broadcast()
            && endpoint.observed.missed_responses() >= MIN_MISSED_RESPONSES
            && endpoint.observed.unanswered_ms(now_ms) > limit_ms
    }

    /// Judged by symptoms: gone with work in flight, ejected after failures, or stalled for longer than
    /// chance explains (a hung machine, a cut link, a pause).
    pub(crate) fn is_outlier(&self, endpoint: &Endpoint) -> bool {
        endpoint.is_gone()
            || endpoint.health.is_ejected(self.clock.now_ms())
            || self.stall_ratio(endpoint) > 1.0
    }

    /// Time without any answer while work is in flight, in parts of what counts as a stall. It is measured
    /// against the age of this gateway's attempts everywhere: where all endpoints slow down, none is stalled.
    pub(crate) fn stall_ratio(&self, endpoint: &Endpoint) -> f64 {
        let Some(oldest_sent_ms) = endpoint.oldest_sent_ms() else { return 0.0 };
        let stalled_ms = self.clock.now_ms() - oldest_sent_ms.max(endpoint.health.answered_ms());
        let relative = endpoint.response_time.last().max(1.0);
        let reference_ms =
            self.reference_ms(self.latency.mean_response_ms()) * relative / self.warm_fraction(endpoint);
        let in_flight = endpoint.in_flight().len() as f64;
        stalled_ms / reference_ms * (in_flight / SINGLE_STALL_RESPONSE_TIMES).min(1.0 / STALL_RESPONSE_TIMES)
    }

    /// What ages are measured against just now: more than the mean where attempts in flight grow old.
    fn reference_ms(&self, mean_ms: f64) -> f64 {
        mean_ms.max(TYPICAL_AGE_FACTOR * self.latency.typical_age_ms())
    }

    /// Whether an attempt's end, already recorded, counts as a failure of its endpoint. A long time without
    /// an answer is the endpoint's own fault only where attempts elsewhere are not as old.
    pub(crate) fn is_failure(&self, end: &AttemptEnd, class: ClassIndex) -> bool {
        let Some(endpoint) = self.endpoints.get(end.endpoint) else { return false };
        let health = &endpoint.health;
        let unanswered_ms = health.unanswered_ms(self.clock.now_ms());
        let response_ms = self.latency.expected_ms(class);
        let is_long = end.took_ms > FAILED_RESPONSE_TIMES * self.reference_ms(response_ms);
        match end.outcome {
            Outcome::Ok | Outcome::Overloaded | Outcome::TooLate => false,
            Outcome::Error => {
                health.error_fraction() > MAX_ERROR_FRACTION || health.consecutive_failures() > 0
            }
            Outcome::ConnectFailed | Outcome::Reset => {
                health.error_fraction() > MAX_BROKEN_FRACTION || unanswered_ms > response_ms.max(end.took_ms)
            }
            Outcome::TimedOut if !self.coordination.is_broadcast() => unanswered_ms > end.took_ms,
            Outcome::TimedOut | Outcome::Cancelled => unanswered_ms > end.took_ms && is_long,
        }
    }

    /// How far an endpoint's response time, as the fleet observes it, is beyond what is usual of its kind.
    pub(crate) fn kind_deviation(&self, endpoint: &Endpoint) -> KindDeviation {
        let baseline = self.latency.kind_baseline(endpoint.kind()).max(MIN_KIND_BASELINE);
        let observed = endpoint.response_time.observed(self.clock.now_ms(), baseline);
        KindDeviation { baseline, excess: (observed / baseline / CLEARLY_SLOW).max(1.0) }
    }

    /// Small fleets: learns response times from an own attempt.
    pub(crate) fn learn_response_time(&mut self, end: &AttemptEnd, class: ClassIndex) {
        let now_ms = self.clock.now_ms();
        let objective_fraction = end.took_ms / self.settings.class(class).latency_objective_ms;
        let relative = end.took_ms / self.latency.expected_ms(class);
        let Some(endpoint) = self.endpoints.get_mut(end.endpoint) else { return };
        let unanswered_ms = endpoint.health.unanswered_ms(now_ms);
        let has_warmed_up = has_warmed_up(endpoint.age_ms(now_ms), self.settings.warm_up_ms);
        match end.outcome {
            Outcome::Ok => {
                endpoint.response_time.record_own(unanswered_ms, relative, OWN_RESPONSE_TIME_GAIN);
                if has_warmed_up {
                    self.latency.record_response_ms(class, end.took_ms);
                    self.latency.record_own_fraction(objective_fraction);
                }
            }
            Outcome::Overloaded => self.latency.record_own_fraction(1.0),
            Outcome::TimedOut => {
                endpoint.response_time.record_own_time_out(unanswered_ms, relative, OWN_RESPONSE_TIME_GAIN);
                self.latency.record_own_fraction_at_least(objective_fraction.min(1.0));
            }
            _ => {}
        }
    }

    /// Large fleets: learns the mean response time of a class from an own attempt. The rest is learned from
    /// what the fleet observed.
    pub(crate) fn learn_mean_response_time(&mut self, end: &AttemptEnd, class: ClassIndex) {
        let now_ms = self.clock.now_ms();
        let Some(endpoint) = self.endpoints.get(end.endpoint) else { return };
        let has_warmed_up = has_warmed_up(endpoint.age_ms(now_ms), self.settings.warm_up_ms);
        if end.outcome == Outcome::Ok && has_warmed_up {
            let max_ms = MAX_RESPONSE_SAMPLE * self.latency.expected_ms(class);
            self.latency.record_response_ms(class, end.took_ms.min(max_ms));
        }
    }
}

/// Whether an endpoint fails so much of a class, by what the fleet observes, that it is ejected for it.
pub(crate) fn fails_class(failed_fraction: f64) -> bool {
    failed_fraction > MAX_CLASS_FAILURE_FRACTION
}
