//! An endpoint's health as the gateways of a large fleet observe it.
use crate::id::{ClassIndex, PlanIndex};
use crate::mechanism::backoff::{Backoff, BackoffLimits};
use crate::mechanism::smoothing::smooth;
use std::collections::BTreeMap;

/// The requests that a scoped ejection keeps away from an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EjectionScope {
    /// Requests of one class, an index into the settings.
    Class(ClassIndex),
    /// Requests of one plan, an index into the settings.
    Plan(PlanIndex),
}

/// An endpoint's health as the gateways of a large fleet observe it.
#[derive(Debug)]
pub(crate) struct ObservedHealth {
    /// When some gateway last observed an answer.
    responded_ms: f64,
    /// Attempts without an answer that were observed since the last answer.
    missed_responses: u32,
    /// Fraction of the requests of each class that failed, smoothed.
    class_failure_fraction: BTreeMap<ClassIndex, f64>,
    /// How long requests of one class or plan are kept away from the endpoint.
    scoped_ejections: BTreeMap<EjectionScope, Backoff>,
}

impl ObservedHealth {
    /// A healthy endpoint, taken to have answered at `now_ms`.
    pub(crate) fn new(now_ms: f64) -> Self {
        ObservedHealth {
            responded_ms: now_ms,
            missed_responses: 0,
            class_failure_fraction: BTreeMap::new(),
            scoped_ejections: BTreeMap::new(),
        }
    }

    /// Records an answer to a request of a class; it moves the failed fraction by the part `gain`.
    pub(crate) fn record_response(&mut self, class: ClassIndex, now_ms: f64, gain: f64) {
        self.responded_ms = now_ms;
        self.missed_responses = 0;
        smooth(self.class_failure_fraction.entry(class).or_insert(0.0), 0.0, gain);
    }

    /// Records that a request of a class failed or got no answer, and gives the failed fraction of the class.
    pub(crate) fn record_failure(&mut self, class: ClassIndex, gain: f64) -> f64 {
        self.missed_responses += 1;
        let fraction = self.class_failure_fraction.entry(class).or_insert(0.0);
        smooth(fraction, 1.0, gain);
        *fraction
    }

    /// Attempts without an answer that were observed since the last answer.
    pub(crate) fn missed_responses(&self) -> u32 {
        self.missed_responses
    }

    /// Time since an answer was last observed.
    pub(crate) fn unanswered_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.responded_ms
    }

    /// Keeps requests of a class or plan away, the longer the more failures came before.
    pub(crate) fn eject(&mut self, scope: EjectionScope, now_ms: f64, limits: BackoffLimits, jitter: f64) {
        self.scoped_ejections.entry(scope).or_default().record_failure(now_ms, limits, jitter);
    }

    /// Whether requests of a class or plan are kept away.
    pub(crate) fn is_ejected(&self, scope: EjectionScope, now_ms: f64) -> bool {
        self.scoped_ejections.get(&scope).is_some_and(|ejection| ejection.is_active(now_ms))
    }

    /// Whether a request of a class and plan is kept away.
    pub(crate) fn is_ejected_for(&self, class: ClassIndex, plan: PlanIndex, now_ms: f64) -> bool {
        self.is_ejected(EjectionScope::Class(class), now_ms)
            || self.is_ejected(EjectionScope::Plan(plan), now_ms)
    }

    /// Whether requests of any class are kept away.
    pub(crate) fn is_any_class_ejected(&self, now_ms: f64) -> bool {
        self.scoped_ejections
            .iter()
            .any(|(scope, ejection)| matches!(scope, EjectionScope::Class(_)) && ejection.is_active(now_ms))
    }

    /// Records a good answer to an own attempt: requests of its class come back at once. An endpoint that
    /// turns a plan away above a rate still takes some of it, so that one answer only shortens the next
    /// ejection.
    pub(crate) fn relax_ejections(&mut self, class: ClassIndex, plan: PlanIndex) {
        self.scoped_ejections.remove(&EjectionScope::Class(class));
        if let Some(ejection) = self.scoped_ejections.get_mut(&EjectionScope::Plan(plan)) {
            ejection.forgive_failure();
        }
    }
}
