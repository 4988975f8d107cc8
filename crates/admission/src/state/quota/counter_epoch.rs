//! Counter mode: the epochs in which a customer is counted.
use crate::id::CustomerTag;
use crate::mechanism::splitmix64::mix;
use crate::settings::PlanSettings;

/// The epoch of a customer's count. The counter drops names after a while, so each epoch has its own.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CounterEpoch {
    /// Name of the count at the counter.
    pub(crate) name: u64,
    /// Seconds since the epoch began.
    age_s: f64,
}

impl CounterEpoch {
    /// Tokens of a customer by the total of its count: the burst and what the rate added since the epoch
    /// began, less the total.
    pub(crate) fn tokens(&self, plan: &PlanSettings, total: f64) -> f64 {
        plan.burst_units + plan.rate_per_second * self.age_s - total
    }

    /// The present epoch of a customer, of epochs of this length. Each customer's epochs start at a time of
    /// their own, so that the counts do not all restart at once.
    pub(crate) fn at(tag: CustomerTag, now_ms: f64, epoch_ms: f64) -> Self {
        let phase_ms = (mix(tag.0) % epoch_ms as u64) as f64;
        let number = ((now_ms + phase_ms) / epoch_ms).floor();
        let name = mix(tag.0 ^ mix(number as i64 as u64)) >> 1;
        CounterEpoch { name, age_s: (now_ms + phase_ms - number * epoch_ms) / 1000.0 }
    }
}
