//! An endpoint's health as this gateway's own attempts show it.
use crate::mechanism::backoff::{Backoff, BackoffLimits};
use crate::mechanism::smoothing::smooth;

/// An endpoint's health as this gateway's own attempts show it.
#[derive(Debug)]
pub(crate) struct EndpointHealth {
    /// When the endpoint last responded to an own attempt, in ms.
    last_response_ms: f64,
    /// Fraction of own attempts that ended in errors or broken connections, smoothed.
    error_fraction: f64,
    /// For how long the endpoint is ejected after failures.
    ejection: Backoff,
}

impl EndpointHealth {
    /// A healthy endpoint, taken to have responded at `now_ms`.
    pub(crate) fn new(now_ms: f64) -> Self {
        EndpointHealth { last_response_ms: now_ms, error_fraction: 0.0, ejection: Backoff::default() }
    }

    /// Records a response of any kind, which shows that the endpoint is alive.
    pub(crate) fn record_response(&mut self, now_ms: f64) {
        self.last_response_ms = now_ms;
    }

    /// Records a good response with the weight `error_gain` in the smoothed fraction. It ends a row of
    /// failures.
    pub(crate) fn record_success(&mut self, error_gain: f64) {
        self.ejection.reset_failures();
        self.error_fraction *= 1.0 - error_gain;
    }

    /// Records an error or a broken connection with the weight `error_gain` in the smoothed fraction.
    pub(crate) fn record_error(&mut self, error_gain: f64) {
        smooth(&mut self.error_fraction, 1.0, error_gain);
    }

    /// Fraction of own attempts that ended in errors or broken connections, smoothed.
    pub(crate) fn error_fraction(&self) -> f64 {
        self.error_fraction
    }

    /// When the endpoint last responded to an own attempt, in ms.
    pub(crate) fn last_response_ms(&self) -> f64 {
        self.last_response_ms
    }

    /// Time since the endpoint last responded to an own attempt, in ms.
    pub(crate) fn since_response_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.last_response_ms
    }

    /// Failures in a row that each led to an ejection.
    pub(crate) fn consecutive_failures(&self) -> u32 {
        self.ejection.failures()
    }

    /// Whether the endpoint is ejected or paused.
    pub(crate) fn is_ejected(&self, now_ms: f64) -> bool {
        self.ejection.is_active(now_ms)
    }

    /// Ejects the endpoint after a failure, the longer the more failures came before.
    pub(crate) fn eject(&mut self, now_ms: f64, limits: BackoffLimits, jitter: f64) {
        self.ejection.record_failure(now_ms, limits, jitter);
    }

    /// Pauses the endpoint until a time, without counting a failure.
    pub(crate) fn pause_until(&mut self, until_ms: f64) {
        self.ejection.pause_until(until_ms);
    }
}
