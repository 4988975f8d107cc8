//! Learned response times.
use crate::id::{ClassIndex, MachineKindIndex};
use crate::mechanism::common_value::{CommonValue, VoteLimits};
use crate::mechanism::smoothing::smooth;
use std::collections::BTreeMap;

/// Weights of a new sample in the learned response times.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LatencyGains {
    /// In the mean response time of its class.
    pub(crate) class_mean: f64,
    /// In the objective fraction, where the sample is an own attempt.
    pub(crate) own_fraction: f64,
    /// In the objective fraction, where some gateway observed it.
    pub(crate) observed_fraction: f64,
    /// In the usual relative response time of a machine kind.
    pub(crate) kind_baseline: f64,
}

/// Least learned response times that divide.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LatencyFloors {
    /// The smoothed response time as a fraction of the latency objective.
    pub(crate) objective_fraction: f64,
    /// The smoothed response time of a class, in ms.
    pub(crate) response_ms: f64,
}

/// Learned response times of the fleet's endpoints.
#[derive(Debug, Default)]
pub(crate) struct LatencyModel {
    gains: LatencyGains,
    floors: LatencyFloors,
    /// Smoothed response time as a fraction of the latency objective.
    objective_fraction: f64,
    /// Smoothed response time of each class, in ms.
    mean_by_class_ms: Vec<f64>,
    /// The commonest time budget of each class: the time that clients wait.
    time_budgets: Vec<CommonValue>,
    /// Age of own attempts in flight at an endpoint that is not among the slowest, in ms.
    typical_age_ms: f64,
    /// Usual relative response time of each machine kind.
    baseline_by_kind: BTreeMap<MachineKindIndex, f64>,
}

impl LatencyModel {
    /// A model that assumes each class to respond within `objective_fraction` of its latency objective.
    pub(crate) fn new(
        objectives_ms: impl Iterator<Item = f64>,
        objective_fraction: f64,
        gains: LatencyGains,
        floors: LatencyFloors,
    ) -> Self {
        let mean_by_class_ms: Vec<f64> =
            objectives_ms.map(|objective_ms| objective_ms * objective_fraction).collect();
        LatencyModel {
            gains,
            floors,
            objective_fraction,
            time_budgets: vec![CommonValue::default(); mean_by_class_ms.len()],
            mean_by_class_ms,
            ..LatencyModel::default()
        }
    }

    /// Smoothed response time of all classes as a fraction of their latency objectives.
    pub(crate) fn objective_fraction(&self) -> f64 {
        self.objective_fraction
    }

    /// A response time over the smoothed one, both as fractions of the latency objective.
    pub(crate) fn relative_to_mean(&self, objective_fraction: f64) -> f64 {
        objective_fraction / self.objective_fraction.max(self.floors.objective_fraction)
    }

    /// Records the response time of an own attempt, as a fraction of its latency objective.
    pub(crate) fn record_own_fraction(&mut self, sample: f64) {
        smooth(&mut self.objective_fraction, sample, self.gains.own_fraction);
    }

    /// Records a response time that can only be too low, as a fraction of its latency objective. One below
    /// the smoothed one leaves it as it is.
    pub(crate) fn record_own_fraction_at_least(&mut self, sample: f64) {
        self.record_own_fraction(sample.max(self.objective_fraction));
    }

    /// Records a response time that some gateway observed, as a fraction of its latency objective.
    pub(crate) fn record_observed_fraction(&mut self, sample: f64) {
        smooth(&mut self.objective_fraction, sample, self.gains.observed_fraction);
    }

    /// Smoothed response time of a class, in ms.
    pub(crate) fn response_ms(&self, class: ClassIndex) -> f64 {
        self.mean_by_class_ms[class.0]
    }

    /// Smoothed response time of a class, in ms, as a divisor: its floor at least.
    pub(crate) fn floored_response_ms(&self, class: ClassIndex) -> f64 {
        self.response_ms(class).max(self.floors.response_ms)
    }

    /// Mean of the classes' response times, in ms.
    pub(crate) fn mean_response_ms(&self) -> f64 {
        self.mean_by_class_ms.iter().sum::<f64>() / self.mean_by_class_ms.len() as f64
    }

    /// Records a response time of a class, in ms.
    pub(crate) fn record_response_ms(&mut self, class: ClassIndex, sample_ms: f64) {
        smooth(&mut self.mean_by_class_ms[class.0], sample_ms, self.gains.class_mean);
    }

    /// Records the time that a client of a class allows. Returns the votes for the most common such time, or
    /// `None` where the time is the most common one itself.
    pub(crate) fn record_time_budget(
        &mut self,
        class: ClassIndex,
        time_left_ms: f64,
        limits: VoteLimits,
    ) -> Option<i32> {
        let common = &mut self.time_budgets[class.0];
        let is_common = common.record(time_left_ms, limits);
        (!is_common).then_some(common.votes())
    }

    /// Age of own attempts in flight at an endpoint that is not among the slowest, in ms.
    pub(crate) fn typical_age_ms(&self) -> f64 {
        self.typical_age_ms
    }

    /// Sets the typical age of attempts in flight.
    pub(crate) fn set_typical_age_ms(&mut self, age_ms: f64) {
        self.typical_age_ms = age_ms;
    }

    /// Usual relative response time of a machine kind; 1 while nothing is known.
    pub(crate) fn kind_baseline(&self, kind: MachineKindIndex) -> f64 {
        self.baseline_by_kind.get(&kind).copied().unwrap_or(1.0)
    }

    /// Records a relative response time of a machine kind.
    pub(crate) fn record_kind_response_time(&mut self, kind: MachineKindIndex, sample: f64) {
        smooth(self.baseline_by_kind.entry(kind).or_insert(1.0), sample, self.gains.kind_baseline);
    }
}
