//! Pseudo-random numbers and hashes, both made by the mixing function of splitmix64.

/// A pseudo-random number generator whose state is mixed once for each number. The same seed gives the same
/// sequence.
#[derive(Debug, Default)]
pub(crate) struct SplitMix64 {
    /// The seed, and after that the number from which the last fraction was made.
    state: u64,
}

impl SplitMix64 {
    /// Creates a generator that starts from `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        SplitMix64 { state: seed }
    }

    /// Returns the next number of the sequence, uniformly distributed from 0 to 1 (exclusive).
    pub(crate) fn next_fraction(&mut self) -> f64 {
        self.state = mix(self.state);
        fraction(self.state)
    }

    /// Returns a hash of `value` and the present state. The sequence does not advance.
    pub(crate) fn hash(&self, value: u64) -> u64 {
        mix(self.state ^ value)
    }
}

/// Returns the 64-bit hash of `value` by the mixing function of splitmix64.
pub(crate) fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Converts a hash to a fraction from 0 to 1 (exclusive). It uses the upper 53 bits, as many as the mantissa
/// of an `f64` has.
pub(crate) fn fraction(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

/// Returns the 24-bit hash of an id, which names the id in messages.
pub(crate) fn short_tag(id: u64) -> u32 {
    (mix(id) & 0xff_ffff) as u32
}
