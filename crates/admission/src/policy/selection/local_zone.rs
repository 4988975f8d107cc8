//! Large fleets: which fraction of its attempts a gateway sends within its own zone.
use crate::id::ZoneIndex;
use std::collections::BTreeMap;

/// Largest fraction of attempts that stays in the local zone. The rest shows the gateway how remote zones do.
/// The fraction is high because a gateway sends to each of many remote endpoints too seldom to find a
/// connection open.
const MAX_LOCAL_FRACTION: f64 = 0.9;

/// Smallest fraction of attempts that stays in the local zone while it has candidates.
const MIN_LOCAL_FRACTION: f64 = 0.05;

/// Least mean capacity of a zone that divides.
const MIN_MEAN_CAPACITY: f64 = 1e-9;

/// Fraction of the attempts that stay in the local zone, by the capacity of its candidates against that of
/// the mean zone: a local candidate gets no more than a remote one of the same capacity. Each capacity comes
/// with the zone of its candidate, as a fraction of a warm endpoint's.
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
