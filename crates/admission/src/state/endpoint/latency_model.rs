//! Learned response times of all endpoints together.
use crate::id::{ClassIndex, MachineKindIndex};
use crate::mechanism::common_value::{MostCommonValue, VoteParameters};
use crate::mechanism::smoothing::smooth;
use std::collections::BTreeMap;

/// Weights of a new sample in the smoothed response times.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LatencyGains {
    /// Weight in the mean response time of the sample's class.
    pub(crate) class_mean: f64,
    /// Weight in the objective fraction, if the sample comes from an attempt of this gateway.
    pub(crate) own_fraction: f64,
    /// Weight in the objective fraction, if the sample was observed by any gateway of the fleet.
    pub(crate) observed_fraction: f64,
    /// Weight in the usual relative response time of a machine kind.
    pub(crate) kind_baseline: f64,
}

/// Lower limits of smoothed response times that are used as divisors.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LatencyFloors {
    /// Lower limit of the smoothed response time as a fraction of the latency objective.
    pub(crate) objective_fraction: f64,
    /// Lower limit of the smoothed response time of a class, in ms.
    pub(crate) response_ms: f64,
}

/// Learned response times of all endpoints together, by class and by machine kind.
#[derive(Debug, Default)]
pub(crate) struct LatencyModel {
    /// The weight of a new sample in each smoothed response time.
    gains: LatencyGains,
    /// The lower limits of the smoothed response times where they are divisors.
    floors: LatencyFloors,
    /// Smoothed response time of all classes, as a fraction of the latency objective.
    objective_fraction: f64,
    /// Smoothed response time of each class, in ms.
    mean_by_class_ms: Vec<f64>,
    /// The most common time budget of each class, that is, how long its clients wait.
    time_budgets: Vec<MostCommonValue>,
    /// Typical age of attempts in flight at an endpoint, in ms.
    typical_attempt_age_ms: f64,
    /// Usual relative response time of each machine kind.
    baseline_by_kind: BTreeMap<MachineKindIndex, f64>,
}

impl LatencyModel {
    /// Creates a model in which each class responds within `objective_fraction` of its latency objective.
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
            time_budgets: vec![MostCommonValue::default(); mean_by_class_ms.len()],
            mean_by_class_ms,
            ..LatencyModel::default()
        }
    }

    /// Returns the smoothed response time of all classes, as a fraction of their latency objectives.
    pub(crate) fn objective_fraction(&self) -> f64 {
        self.objective_fraction
    }

    /// Returns a response time as a multiple of the smoothed one, both as fractions of the latency objective.
    pub(crate) fn relative_to_mean(&self, objective_fraction: f64) -> f64 {
        objective_fraction / self.objective_fraction.max(self.floors.objective_fraction)
    }

    /// Records the response time of one of this gateway's attempts, as a fraction of its latency objective.
    pub(crate) fn record_own_fraction(&mut self, sample: f64) {
        smooth(&mut self.objective_fraction, sample, self.gains.own_fraction);
    }

    /// Records a lower bound of a response time, as a fraction of its latency objective. A bound below the
    /// smoothed response time does not change it.
    pub(crate) fn record_own_fraction_at_least(&mut self, sample: f64) {
        self.record_own_fraction(sample.max(self.objective_fraction));
    }

    /// Records a response time that any gateway of the fleet observed, as a fraction of its latency
    /// objective.
    pub(crate) fn record_observed_fraction(&mut self, sample: f64) {
        smooth(&mut self.objective_fraction, sample, self.gains.observed_fraction);
    }

    /// Returns the smoothed response time of a class, in ms.
    pub(crate) fn response_ms(&self, class: ClassIndex) -> f64 {
        self.mean_by_class_ms[class.0]
    }

    /// Returns the smoothed response time of a class, in ms, or its lower limit if that is larger. It is used
    /// as a divisor.
    pub(crate) fn floored_response_ms(&self, class: ClassIndex) -> f64 {
        self.response_ms(class).max(self.floors.response_ms)
    }

    /// Returns the mean of the smoothed response times over the classes, in ms. That of one class is
    /// `response_ms`.
    pub(crate) fn mean_response_ms(&self) -> f64 {
        self.mean_by_class_ms.iter().sum::<f64>() / self.mean_by_class_ms.len() as f64
    }

    /// Records a response time of a class, in ms.
    pub(crate) fn record_response_ms(&mut self, class: ClassIndex, sample_ms: f64) {
        smooth(&mut self.mean_by_class_ms[class.0], sample_ms, self.gains.class_mean);
    }

    /// Records the time budget of a request. Returns the votes for the most common time budget of its class,
    /// or `None` if the request's time budget equals the most common one.
    pub(crate) fn record_time_budget(
        &mut self,
        class: ClassIndex,
        time_left_ms: f64,
        limits: VoteParameters,
    ) -> Option<i32> {
        let common = &mut self.time_budgets[class.0];
        let is_common = common.record(time_left_ms, limits);
        (!is_common).then_some(common.votes())
    }

    /// Returns the typical age of attempts in flight at an endpoint, in ms. In broadcast mode it is a
    /// percentile over the endpoints, in a large fleet an estimate from the means over the gateways.
    pub(crate) fn typical_attempt_age_ms(&self) -> f64 {
        self.typical_attempt_age_ms
    }

    /// Sets the typical age of attempts in flight, in ms.
    pub(crate) fn set_typical_attempt_age_ms(&mut self, age_ms: f64) {
        self.typical_attempt_age_ms = age_ms;
    }

    /// Returns the usual relative response time of a machine kind, or 1 while nothing is known.
    pub(crate) fn kind_baseline(&self, kind: MachineKindIndex) -> f64 {
        self.baseline_by_kind.get(&kind).copied().unwrap_or(1.0)
    }

    /// Records a relative response time of a machine kind.
    pub(crate) fn record_kind_response_time(&mut self, kind: MachineKindIndex, sample: f64) {
        smooth(self.baseline_by_kind.entry(kind).or_insert(1.0), sample, self.gains.kind_baseline);
    }
}
