//! The splitmix64 pseudo-random numbers, and the hash made of the same mixing function.

/// A splitmix64 generator: the same seed gives the same sequence.
#[derive(Debug, Default)]
pub(crate) struct SplitMix64 {
    state: u64,
}

impl SplitMix64 {
    /// A generator that starts from `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        SplitMix64 { state: seed }
    }

    /// The next number of the sequence, uniformly distributed from 0 to 1 (exclusive).
    pub(crate) fn next_fraction(&mut self) -> f64 {
        self.state = mix(self.state);
        fraction(self.state)
    }

    /// A hash of `value` and the present state. The sequence does not advance.
    pub(crate) fn hash(&self, value: u64) -> u64 {
        mix(self.state ^ value)
    }
}

/// The mixing function of splitmix64: a hash of 64 bits.
pub(crate) fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The upper 53 bits of a hash as a fraction between 0 and 1 (exclusive): as many as the mantissa of an `f64`
/// has.
pub(crate) fn fraction(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

/// A hash of an id, of 24 bits, that names it in messages.
pub(crate) fn short_tag(id: u64) -> u32 {
    (mix(id) & 0xff_ffff) as u32
}
