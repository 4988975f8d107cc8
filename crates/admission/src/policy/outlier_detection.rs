//! Which endpoints are outliers, and what is learned of their speed.
use crate::event::{AttemptEnd, EndpointState, Outcome};
use crate::gateway::Gateway;
use crate::mechanism::backoff::exponential_backoff_ms;
use crate::mechanism::smoothing::smooth;
use crate::state::endpoint::Endpoint;

/// Silence, in parts of what is called silent, from which a endpoint's work leaves the stock.
pub(crate) const HUNG_SILENCE: f64 = 2.0;

/// Part of the endpoints that must be well for illness to be a endpoint's own: else the cause is shared.
pub(crate) const MIN_HEALTHY_FRACTION: f64 = 0.25;

/// A slow endpoint's mark fades by half in this time without answers, so that it is tried again.
pub(crate) const RESPONSE_TIME_HALF_LIFE_MS: f64 = 4000.0;

/// Observations of endpoints in a message, at most, and kept for telling.
pub(crate) const MAX_OBSERVATIONS: usize = 3;

/// First time a endpoint is left alone with a class or plan; doubles.
pub(crate) const SCOPED_EJECTION_MS: f64 = 1000.0;

/// An answer counts for so many times the usual at most: a few very slow endpoints must not make all look
/// slow.
pub(crate) const MAX_RESPONSE_SAMPLE: f64 = 2.5;

/// Weight of each sight of a class at a endpoint, and the part of bad ones from which it is left alone.
pub(crate) const CLASS_FAILURE_GAIN: f64 = 0.3;
pub(crate) const MAX_CLASS_FAILURE_FRACTION: f64 = 0.5;

/// Weight of each error and of each broken connection, and the part of these from which a endpoint that still
/// answers over others is ill.
pub(crate) const ERROR_GAIN: f64 = 0.1;
pub(crate) const MAX_BROKEN_FRACTION: f64 = 0.5;

/// First back-off from an ill endpoint; doubles up to the most.
pub(crate) const BASE_EJECTION_MS: f64 = 400.0;
pub(crate) const MAX_EJECTION_MS: f64 = 6400.0;

/// A wide fleet's gateway sends to a endpoint too seldom to judge it alone. It takes for silent one of which
/// this many attempts are known to have brought nothing since its last known answer, which must lie back as
/// long as it takes to hear of so many answers of a usual endpoint, and at most so long.
pub(crate) const MIN_MISSED_RESPONSES: u32 = 2;
pub(crate) const UNRESPONSIVE_OBSERVATIONS: f64 = 2.5;
pub(crate) const MAX_UNRESPONSIVE_MS: f64 = 2000.0;

/// Span over which the answers heard of are counted.
pub(crate) const OBSERVATION_SPAN_S: f64 = 3.0;

impl Gateway {
    pub(crate) fn detect_correlated_failure(&mut self) {
        // One vote a endpoint, so that work piled up on a hung zone does not outvote the rest; one with
        // nothing out votes for the usual time. Less than the median: a zone of two may be gone with its work
        // out.
        let usual = self.mean_response_ms();
        let age = |s: &Endpoint| match s.in_flight.len() {
            0 => 0.5 * usual,
            n => s.in_flight.iter().map(|o| self.clock.now_ms - o.0).sum::<f64>() / n as f64,
        };
        if self.coordination.is_broadcast() {
            let mut ages: Vec<f64> = self.endpoints.by_id.values().map(age).collect();
            ages.sort_by(f64::total_cmp);
            self.latency.typical_age_ms = ages.get(ages.len() * 2 / 5).copied().unwrap_or(0.0);
        }
        let ready: Vec<&Endpoint> =
            self.endpoints.by_id.values().filter(|s| s.state == EndpointState::Ready).collect();
        let well = ready.iter().filter(|s| !self.is_outlier(s)).count() as f64;
        self.outliers.correlated_failure = well < ready.len() as f64 * MIN_HEALTHY_FRACTION;
    }

    /// Whether the fleet, as far as this gateway has heard, gets no answers from a endpoint any more.
    pub(crate) fn is_unresponsive(&self, endpoint: &Endpoint) -> bool {
        let each = self.outliers.observation_rate.now(self.clock.now_ms, OBSERVATION_SPAN_S)
            / self.endpoints.by_id.len().max(1) as f64;
        let long_ms = (1000.0 * UNRESPONSIVE_OBSERVATIONS / each.max(1e-3)).min(MAX_UNRESPONSIVE_MS);
        !self.coordination.is_broadcast()
            && endpoint.missed_responses >= MIN_MISSED_RESPONSES
            && self.clock.now_ms - endpoint.last_response_ms > long_ms
    }

    /// Judged by symptoms: backing off after failures, gone with work out, or silent with work out for longer
    /// than chance explains (a hung machine, a cut link, a pause).
    pub(crate) fn is_outlier(&self, endpoint: &Endpoint) -> bool {
        endpoint.state == EndpointState::Gone
            || self.clock.now_ms < endpoint.ejected_until_ms
            || self.silence(endpoint) > 1.0
    }

    /// Silence is measured against how long this gateway's attempts are out everywhere just now: when all
    /// endpoints slow together none of them is silent.
    pub(crate) fn silence(&self, endpoint: &Endpoint) -> f64 {
        let Some(oldest) = endpoint.in_flight.iter().map(|o| o.0).reduce(f64::min) else { return 0.0 };
        let silence = self.clock.now_ms - oldest.max(endpoint.answered_ms);
        let usual = self.mean_response_ms().max(1.5 * self.latency.typical_age_ms);
        let usual = usual * endpoint.relative_response_time.max(1.0) / self.warm_fraction(endpoint);
        silence / usual * (endpoint.in_flight.len() as f64 / 5.0).min(1.0 / 2.5)
    }

    /// Learns speed and health from how an attempt ended.
    pub(crate) fn record_attempt_end(&mut self, end: &AttemptEnd, class: usize, plan: usize) {
        if !self.coordination.is_broadcast() {
            self.observe_attempt(end, class, plan);
        }
        let took_ms = end.took_ms;
        let now = self.clock.now_ms;
        let jitter = 0.75 + 0.5 * self.random.next_fraction();
        let aim = self.settings.classes[class].latency_objective_ms;
        let usual = self.latency.mean_by_class_ms[class].max(1.0);
        // A long silence is a endpoint's own fault only where attempts elsewhere are not out as long.
        let long = 3.0 * usual.max(1.5 * self.latency.typical_age_ms);
        let wide = !self.coordination.is_broadcast();
        let Some(endpoint) = self.endpoints.by_id.get_mut(&end.endpoint) else { return };
        endpoint.in_flight.retain(|o| (o.1, o.2) != (end.request, end.attempt));
        let cold = endpoint.started_ms.is_some_and(|s| now - s < self.settings.warm_up_ms);
        let mut failed = false;
        match end.outcome {
            Outcome::Ok => {
                if !wide {
                    endpoint.relative_response_time = endpoint.relative_response_time_now(now);
                    smooth(&mut endpoint.relative_response_time, took_ms / usual, 0.1);
                }
                endpoint.answered_ms = now;
                endpoint.consecutive_failures = 0;
                endpoint.error_fraction *= 0.9;
                if !cold {
                    let took_ms = if wide { took_ms.min(MAX_RESPONSE_SAMPLE * usual) } else { took_ms };
                    smooth(&mut self.latency.mean_by_class_ms[class], took_ms, 0.03);
                    if !wide {
                        smooth(&mut self.latency.objective_fraction, took_ms / aim, 0.05);
                    }
                }
            }
            Outcome::Error => {
                // A few errors are ordinary; a endpoint that fails most of what it gets must not draw more.
                endpoint.answered_ms = now;
                smooth(&mut endpoint.error_fraction, 1.0, ERROR_GAIN);
                failed = endpoint.error_fraction > 0.3 || endpoint.consecutive_failures > 0;
            }
            Outcome::ConnectFailed | Outcome::Reset => {
                // A connection that breaks is not yet a endpoint that does, while it answers over others.
                smooth(&mut endpoint.error_fraction, 1.0, ERROR_GAIN);
                failed = endpoint.error_fraction > MAX_BROKEN_FRACTION
                    || now - endpoint.answered_ms > usual.max(took_ms);
            }
            Outcome::Overloaded if wide => endpoint.answered_ms = now,
            Outcome::TimedOut if wide => failed = now - endpoint.answered_ms > took_ms,
            Outcome::Overloaded => {
                endpoint.answered_ms = now;
                endpoint.ejected_until_ms = now + 0.25 * BASE_EJECTION_MS * jitter;
                smooth(&mut self.latency.objective_fraction, 1.0, 0.05);
            }
            Outcome::TimedOut => {
                let fade = endpoint.relative_response_time_now(now);
                endpoint.relative_response_time = fade + 0.1 * (took_ms / usual - fade).max(0.0);
                self.latency.objective_fraction +=
                    0.05 * ((took_ms / aim).min(1.0) - self.latency.objective_fraction).max(0.0);
                failed = now - endpoint.answered_ms > took_ms && took_ms > long;
            }
            Outcome::Cancelled => failed = now - endpoint.answered_ms > took_ms && took_ms > long,
            Outcome::TooLate => {}
        }
        if failed && now >= endpoint.ejected_until_ms {
            let backoff =
                exponential_backoff_ms(BASE_EJECTION_MS, MAX_EJECTION_MS, endpoint.consecutive_failures);
            endpoint.consecutive_failures += 1;
            endpoint.ejected_until_ms = now + backoff * jitter;
        }
        if endpoint.state == EndpointState::Gone && endpoint.in_flight.is_empty() {
            self.endpoints.by_id.remove(&end.endpoint);
        }
    }
}
