//! An endpoint's health, as the gateways of a large fleet observe it.
use crate::id::{ClassIndex, PlanIndex};
use crate::mechanism::backoff::{Backoff, BackoffLimits};
use crate::mechanism::smoothing::smooth;
use std::collections::BTreeMap;

/// The requests that an ejection applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EjectionScope {
    /// Requests of one class.
    Class(ClassIndex),
    /// Requests of one plan.
    Plan(PlanIndex),
}

/// An endpoint's health, as the gateways of a large fleet observe it.
#[derive(Debug)]
pub(crate) struct ObservedHealth {
    /// When any gateway last observed a good response, in ms. Errors and rejections do not count.
    last_good_response_ms: f64,
    /// Number of observations of failed or slow attempts since the last good response. An attempt that is
    /// slow and then fails counts twice.
    failure_observations: u32,
    /// Smoothed fraction of the observations of each class that were of failed or slow attempts.
    class_failure_fraction: BTreeMap<ClassIndex, f64>,
    /// Back-offs during which the endpoint is ejected for requests of one class or plan.
    scoped_ejections: BTreeMap<EjectionScope, Backoff>,
}

impl ObservedHealth {
    /// Creates the health of a new endpoint, which counts as having given a good response at `now_ms`.
    pub(crate) fn new(now_ms: f64) -> Self {
        ObservedHealth {
            last_good_response_ms: now_ms,
            failure_observations: 0,
            class_failure_fraction: BTreeMap::new(),
            scoped_ejections: BTreeMap::new(),
        }
    }

    /// Records a good response to a request of a class, with the weight `gain` in the class's fraction of
    /// failed or slow attempts.
    pub(crate) fn record_good_response(&mut self, class: ClassIndex, now_ms: f64, gain: f64) {
        self.last_good_response_ms = now_ms;
        self.failure_observations = 0;
        smooth(self.class_failure_fraction.entry(class).or_insert(0.0), 0.0, gain);
    }

    /// Records that an attempt of a request of a class failed or was slow, and returns the class's smoothed
    /// fraction of failed or slow attempts.
    pub(crate) fn record_failure(&mut self, class: ClassIndex, gain: f64) -> f64 {
        self.failure_observations += 1;
        let fraction = self.class_failure_fraction.entry(class).or_insert(0.0);
        smooth(fraction, 1.0, gain);
        *fraction
    }

    /// Returns the number of observations of failed or slow attempts since the last good response. An attempt
    /// that is slow and then fails counts twice.
    pub(crate) fn failure_observations(&self) -> u32 {
        self.failure_observations
    }

    /// Returns the time since a good response was last observed, in ms.
    pub(crate) fn since_good_response_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.last_good_response_ms
    }

    /// Ejects the endpoint for requests of a class or plan, for longer with each consecutive failure.
    pub(crate) fn eject(&mut self, scope: EjectionScope, now_ms: f64, limits: BackoffLimits, jitter: f64) {
        self.scoped_ejections.entry(scope).or_default().record_failure(now_ms, limits, jitter);
    }

    /// Returns whether the endpoint is ejected for requests of a class or plan.
    pub(crate) fn is_ejected(&self, scope: EjectionScope, now_ms: f64) -> bool {
        self.scoped_ejections.get(&scope).is_some_and(|ejection| ejection.is_active(now_ms))
    }

    /// Returns whether the endpoint is ejected for a request of this class and plan.
    pub(crate) fn is_ejected_for(&self, class: ClassIndex, plan: PlanIndex, now_ms: f64) -> bool {
        self.is_ejected(EjectionScope::Class(class), now_ms)
            || self.is_ejected(EjectionScope::Plan(plan), now_ms)
    }

    /// Returns whether the endpoint is ejected for requests of at least one class.
    pub(crate) fn is_any_class_ejected(&self, now_ms: f64) -> bool {
        self.scoped_ejections
            .iter()
            .any(|(scope, ejection)| matches!(scope, EjectionScope::Class(_)) && ejection.is_active(now_ms))
    }

    /// Records a good response to an attempt of this gateway, which ends an ejection for the class at once.
    /// For the plan it only shortens the next ejection, because an endpoint that rejects a plan's requests
    /// above some rate still accepts those below it.
    pub(crate) fn record_own_success(&mut self, class: ClassIndex, plan: PlanIndex) {
        self.scoped_ejections.remove(&EjectionScope::Class(class));
        if let Some(ejection) = self.scoped_ejections.get_mut(&EjectionScope::Plan(plan)) {
            ejection.decrement_failures();
        }
    }
}
