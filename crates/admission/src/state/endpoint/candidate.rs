//! Endpoints weighed against each other for one attempt.
use crate::id::ZoneIndex;
use crate::state::Endpoint;
use std::collections::BTreeMap;

/// An endpoint that an attempt may be sent to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate<'a> {
    /// The endpoint.
    pub(crate) endpoint: &'a Endpoint,
    /// What the choice is expected to cost. It has no unit: only ratios count.
    pub(crate) cost: f64,
    /// It is left out where enough others are healthy.
    pub(crate) is_outlier: bool,
    /// The fleet gets no responses from it any more; small fleets don't tell.
    pub(crate) is_unresponsive: bool,
}

impl Candidate<'_> {
    /// Whether nothing speaks against sending it work.
    pub(crate) fn is_healthy(&self) -> bool {
        !self.is_outlier && !self.is_unresponsive
    }
}

/// Keeps divisions by a mean capacity finite.
const MIN_MEAN_CAPACITY: f64 = 1e-9;

/// Work that the candidates of a zone can take, in parts of a warm endpoint's.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ZoneCapacity {
    /// That of the local zone.
    pub(crate) local: f64,
    /// The mean of all zones with candidates, as a divisor: never 0.
    pub(crate) mean: f64,
}

impl ZoneCapacity {
    /// Sums capacities, each given with its zone.
    pub(crate) fn new(capacities: impl Iterator<Item = (ZoneIndex, f64)>, local_zone: ZoneIndex) -> Self {
        let mut by_zone: BTreeMap<ZoneIndex, f64> = BTreeMap::new();
        for (zone, capacity) in capacities {
            *by_zone.entry(zone).or_insert(0.0) += capacity;
        }
        let mean = by_zone.values().sum::<f64>() / by_zone.len().max(1) as f64;
        ZoneCapacity {
            local: by_zone.get(&local_zone).copied().unwrap_or(0.0),
            mean: mean.max(MIN_MEAN_CAPACITY),
        }
    }
}
