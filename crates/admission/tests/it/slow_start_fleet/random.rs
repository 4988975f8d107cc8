//! Seeded random numbers.

/// The state of a splitmix64 generator, at first the seed.
pub(super) struct SplitMix64(pub(super) u64);

impl SplitMix64 {
    /// Returns a number of at least 0 and below 1.
    pub(super) fn fraction(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a number of at least `low` and below `high`.
    pub(super) fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.fraction()
    }

    /// Returns one of the values.
    pub(super) fn one_of<T: Copy>(&mut self, values: &[T]) -> T {
        values[(self.fraction() * values.len() as f64) as usize]
    }

    /// Returns the time to the next event of a Poisson process with this rate, in ms.
    pub(super) fn exponential_ms(&mut self, per_second: f64) -> f64 {
        -(1.0 - self.fraction()).ln() * 1000.0 / per_second
    }
}
