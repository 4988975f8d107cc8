//! An endpoint's health, as this gateway's own attempts show it.
use crate::mechanism::backoff::{Backoff, BackoffLimits};
use crate::mechanism::smoothing::smooth;

/// An endpoint's health, as this gateway's own attempts show it.
#[derive(Debug)]
pub(crate) struct EndpointHealth {
    /// When the endpoint last responded to an attempt of this gateway, in ms.
    last_response_ms: f64,
    /// Smoothed fraction of this gateway's attempts that ended in errors or connection failures.
    error_fraction: f64,
    /// Back-off during which the endpoint is ejected or paused.
    ejection: Backoff,
}

impl EndpointHealth {
    /// Creates the health of a new endpoint, which counts as having responded at `now_ms`.
    pub(crate) fn new(now_ms: f64) -> Self {
        EndpointHealth { last_response_ms: now_ms, error_fraction: 0.0, ejection: Backoff::default() }
    }

    /// Records a response of any kind, which shows that the endpoint is alive.
    pub(crate) fn record_response(&mut self, now_ms: f64) {
        self.last_response_ms = now_ms;
    }

    /// Records a good response, with the weight `error_gain` in the error fraction. It ends a series of
    /// consecutive failures.
    pub(crate) fn record_success(&mut self, error_gain: f64) {
        self.ejection.reset_failures();
        self.error_fraction *= 1.0 - error_gain;
    }

    /// Records an error or a connection failure, with the weight `error_gain` in the error fraction.
    pub(crate) fn record_error(&mut self, error_gain: f64) {
        smooth(&mut self.error_fraction, 1.0, error_gain);
    }

    /// Returns the smoothed fraction of this gateway's attempts that ended in errors or connection failures.
    pub(crate) fn error_fraction(&self) -> f64 {
        self.error_fraction
    }

    /// Returns when the endpoint last responded to an attempt of this gateway, in ms.
    pub(crate) fn last_response_ms(&self) -> f64 {
        self.last_response_ms
    }

    /// Returns the time since the endpoint last responded to an attempt of this gateway, in ms.
    pub(crate) fn since_response_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.last_response_ms
    }

    /// Returns the number of consecutive failures that each led to an ejection.
    pub(crate) fn consecutive_failures(&self) -> u32 {
        self.ejection.failures()
    }

    /// Returns whether the endpoint is ejected after a failure or paused after an overload response.
    pub(crate) fn is_ejected(&self, now_ms: f64) -> bool {
        self.ejection.is_active(now_ms)
    }

    /// Ejects the endpoint after a failure, for longer with each consecutive failure.
    pub(crate) fn eject(&mut self, now_ms: f64, limits: BackoffLimits, jitter: f64) {
        self.ejection.record_failure(now_ms, limits, jitter);
    }

    /// Sets the end of the ejection or pause to `until_ms`, without counting a failure. This also shortens an
    /// ejection that would have ended later.
    pub(crate) fn pause_until(&mut self, until_ms: f64) {
        self.ejection.pause_until(until_ms);
    }
}
