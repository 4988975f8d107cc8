//! Fixed-point numbers, as messages carry them.
use crate::messages::base64_digits::{max_value, put_saturating, take};
use std::str::Bytes;

/// A number of 0 or more, in steps of 1/`STEPS`, which a message carries as `DIGITS` digits. A number that is
/// too large counts as the largest that the digits carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct FixedPoint<const STEPS: u32, const DIGITS: u32>(u32);

/// A fraction of 0 to 1 in 63rds, which a message carries as one digit.
pub(crate) type SixtyThirds = FixedPoint<63, 1>;

impl<const STEPS: u32, const DIGITS: u32> FixedPoint<STEPS, DIGITS> {
    /// Digits of the number in a message.
    pub(crate) const LEN: u32 = DIGITS;

    /// The number 1.
    pub(crate) const ONE: Self = FixedPoint(STEPS);

    /// One step, the smallest number above 0.
    pub(crate) const ONE_STEP: Self = FixedPoint(1);

    /// Returns the multiple of a step nearest to `value`.
    pub(crate) fn nearest(value: f64) -> Self {
        Self::from_steps((value * f64::from(STEPS)).round() as u32)
    }

    /// Returns the highest multiple of a step that is not above `value`.
    pub(crate) fn at_most(value: f64) -> Self {
        Self::from_steps((value * f64::from(STEPS)) as u32)
    }

    /// Creates the number of `steps` steps, or the largest that the digits carry.
    fn from_steps(steps: u32) -> Self {
        FixedPoint(steps.min(max_value(DIGITS)))
    }

    /// Returns the larger of two numbers.
    pub(crate) fn max(self, other: Self) -> Self {
        FixedPoint(self.0.max(other.0))
    }

    /// Returns the number of steps.
    pub(crate) fn steps(self) -> u32 {
        self.0
    }

    /// Returns the number as a float.
    pub(crate) fn value(self) -> f64 {
        f64::from(self.0) / f64::from(STEPS)
    }

    /// Appends the number's digits to a message.
    pub(crate) fn encode(self, text: &mut String) {
        put_saturating(text, self.0, DIGITS);
    }

    /// Reads a number from a message; `None` if a digit is missing or invalid.
    pub(crate) fn decode(bytes: &mut Bytes<'_>) -> Option<Self> {
        take(bytes, DIGITS).map(FixedPoint)
    }
}
