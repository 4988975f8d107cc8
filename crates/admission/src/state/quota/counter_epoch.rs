//! Counter mode: the epochs after which a customer's count restarts.
use crate::id::CustomerKey;
use crate::mechanism::splitmix64::mix;
use crate::settings::PlanSettings;

/// An epoch of a customer's count. The counter deletes names after a while, so each epoch counts from 0 under
/// its own name.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CounterEpoch {
    /// Name of the count at the counter during the epoch.
    pub(crate) name: u64,
    /// Time since the epoch began, in seconds.
    age_s: f64,
}

impl CounterEpoch {
    /// Returns the tokens of a customer whose count has this total: the burst and what the rate has added
    /// since the epoch began, minus the total.
    pub(crate) fn tokens(&self, plan: &PlanSettings, total: f64) -> f64 {
        plan.burst_units + plan.rate_per_second * self.age_s - total
    }

    /// Returns the epoch that a customer is in at `now_ms`, if epochs last `epoch_ms`. Epochs begin at a
    /// different time for each customer, so that the counts do not all restart at once.
    pub(crate) fn at(key: CustomerKey, now_ms: f64, epoch_ms: f64) -> Self {
        let phase_ms = (mix(key.0) % epoch_ms as u64) as f64;
        let number = ((now_ms + phase_ms) / epoch_ms).floor();
        let name = mix(key.0 ^ mix(number as i64 as u64)) >> 1;
        CounterEpoch { name, age_s: (now_ms + phase_ms - number * epoch_ms) / 1000.0 }
    }
}
