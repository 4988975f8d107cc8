//! Large fleets: the fraction of its attempts that a gateway sends within its own zone.
use crate::id::ZoneIndex;
use std::collections::BTreeMap;

/// Largest fraction of attempts that stay in the local zone. The rest shows the gateway the state of remote
/// zones. The fraction is high because there are many remote endpoints, and a gateway sends to each of them
/// too rarely to find a connection still open.
const MAX_LOCAL_FRACTION: f64 = 0.9;

/// Smallest fraction of attempts that stay in the local zone while it has candidates.
const MIN_LOCAL_FRACTION: f64 = 0.05;

/// Lower limit of a zone's mean capacity as a divisor, as a fraction of a warm endpoint's capacity.
const MIN_MEAN_CAPACITY: f64 = 1e-9;

/// Returns the fraction of attempts that stay in the local zone, by the capacity of its candidates compared
/// with that of an average zone. If the gateways of every zone send the same load, candidates of the same
/// capacity then get about as much from all gateways together, although each gateway prefers its own zone.
/// `capacities` has the zone and the capacity of each candidate, as a fraction of a warm endpoint's capacity.
pub(crate) fn local_fraction(
    capacities: impl Iterator<Item = (ZoneIndex, f64)>,
    local_zone: ZoneIndex,
) -> f64 {
    let mut by_zone: BTreeMap<ZoneIndex, f64> = BTreeMap::new();
    for (zone, capacity) in capacities {
        *by_zone.entry(zone).or_insert(0.0) += capacity;
    }
    let mean = by_zone.values().sum::<f64>() / by_zone.len().max(1) as f64;
    let local = by_zone.get(&local_zone).copied().unwrap_or(0.0);
    let fraction = MAX_LOCAL_FRACTION * local / mean.max(MIN_MEAN_CAPACITY);
    fraction.clamp(MIN_LOCAL_FRACTION, MAX_LOCAL_FRACTION)
}
